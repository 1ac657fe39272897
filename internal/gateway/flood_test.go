package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
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

// maxFloodHeap bounds the heap that one request may use while its upstream sends bytes without
// end, in bytes.
const maxFloodHeap = 1 << 20

// Guards against issue 34, first report: a gateway that keeps the bytes of a faulty upstream
// until it runs out of memory, in a head or in a body, while sound requests go on beside.
func TestManyFloodsBesideSoundRequests(t *testing.T) {
	const requests = 48
	chunk := strings.Repeat("x", 32<<10)
	head := "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\n"
	floods := []struct{ path, begin, repeat string }{
		{"/once/head", "HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 700)},
		{"/once/line", head + "A: ", chunk},
		{"/once/no-answer", "", strings.Repeat("\x00\x01", 2<<10)},
		{"/once/informational", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"/once/body", head + "\r\n", chunk},
		{"/once/length", head + "Content-Length: 1000000000000\r\n\r\n", chunk},
		{"/once/chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + chunk + "\r\n"},
		{"/once/extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", chunk},
		{"/once/trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 700)},
		{"/stream/event", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", chunk},
		{"/resume/event", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", chunk},
		{"/resume/events", head + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: a\n\n"},
	}
	// The floods take all processors, and other tests have time limits.
	s := startOn(t, func(l net.Listener) net.Listener { return l })
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		i := slices.IndexFunc(floods, func(f struct{ path, begin, repeat string }) bool { return f.path == r.URL.Path })
		if i < 0 {
			_, _ = io.WriteString(w, "sound")
			return
		}
		testenv.Flood(w, floods[i].begin, floods[i].repeat)
	})
	s.await("/any/0", http.StatusOK)
	ctx, stop := context.WithCancel(t.Context())
	before := testenv.LiveHeap()
	var open sync.WaitGroup
	for n := range requests {
		open.Go(func() { s.discard(ctx, floods[n%len(floods)].path) })
	}
	highest := uint64(0)
	for range 10 {
		got := s.request(t.Context(), "/any/sound", nil)
		s.g.Expect([]any{got.status, got.body, got.err}).To(Equal([]any{http.StatusOK, "sound", nil}))
		highest = max(highest, testenv.LiveHeap())
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	open.Wait()
	s.g.Expect(int64(highest) - int64(before)).To(BeNumerically("<", requests*maxFloodHeap))
}

// discard sends requests, and drops what is received, until ctx ends.
func (s *system) discard(ctx context.Context, path string) {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+path, http.NoBody)
		if err != nil {
			return
		}
		req.Host = "h"
		req.Header.Set("Id", "request-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
