package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

// requestHTTP10 sends a request as a caller of HTTP/1.0, and returns what it receives until the
// connection ends.
func (s *system) requestHTTP10(path string) (string, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	s.g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.0\r\nHost: h\r\nId: request-1\r\nContent-Length: 0\r\n\r\n")
	s.g.Expect(err).NotTo(HaveOccurred())
	received, err := io.ReadAll(conn)
	return string(received), err
}

// Guards against a response that ends early and looks complete to a caller of HTTP/1.0, whose
// responses end with the connection.
func TestBrokenResponseIsResetForCallersOfHTTP10(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\n"
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/any/0":
		case "/stream/whole":
			writeRaw(w, lastResponse, testenv.Framings()["chunks"](begun))
		case "/any/whole":
			_, _ = io.WriteString(w, "whole")
		case "/any/large":
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			closeConnection(w)
		default:
			writeRaw(w, eventStream, testenv.Framings()["chunks"](begun+"id: 2"))
		}
	})
	s.await("/any/0", http.StatusOK)
	for _, path := range []string{"/any/whole", "/stream/whole"} {
		got, err := s.requestHTTP10(path)
		s.g.Expect(err).NotTo(HaveOccurred(), path)
		s.g.Expect(got).To(HavePrefix("HTTP/1.0 200 OK"), path)
	}
	for _, path := range []string{"/stream/cut", "/resume/cut", "/any/large"} {
		got, err := s.requestHTTP10(path)
		s.g.Expect(err).To(HaveOccurred(), "%s: %.200q", path, got)
	}
}
