package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endless writes a response that does not end until the gateway closes the connection.
func endless(ended chan<- struct{}, contentType, start, repeat string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/0") {
			return
		}
		defer close(ended)
		w.Header().Set("Content-Type", contentType)
		_, err := io.WriteString(w, start)
		for err == nil {
			_, err = io.WriteString(w, repeat)
		}
	}
}

// Guards against an upstream whose body has no end: it was passed on until the caller
// closed the connection. The response must not look complete.
func TestEndlessBodiesAreCut(t *testing.T) {
	chunk := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct{ route, contentType, start, repeat string }{
		"body without a length": {"/any", "text/plain", "", chunk},
		"event without an end":  {"/stream", "text/event-stream", "id: 1\ndata: a\n\ndata: ", chunk},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			ended := make(chan struct{})
			s.upstream("a", "plain", endless(ended, c.contentType, c.start, c.repeat))
			s.await("/any/0", http.StatusOK)
			got := s.request(t.Context(), c.route+"/1", nil)
			s.g.Expect(got.err).To(HaveOccurred())
			s.g.Expect(len(got.body)).To(BeNumerically("<=", 16<<20))
			s.g.Eventually(ended).Within(2 * time.Second).Should(BeClosed())
		})
	}
}
