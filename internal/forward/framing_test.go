package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against issue 34, third report: an upstream that stops in the middle of its
// response's head and closes or resets the connection gets a success for it, and a body that
// lacks its marked end is taken for whole. The response is cut at each byte.
func TestResponseCutAtEachByte(t *testing.T) {
	const fields = "Id: 1\r\nMark: m\r\nContent-Type: text/plain\r\n"
	for name, c := range map[string]struct{ head, body string }{
		"length":                {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 16\r\n\r\n", "sixteen bytes of"},
		"chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n", "4\r\nfour\r\n6\r\nletter\r\n0\r\n\r\n"},
		"end of the connection": {"HTTP/1.1 200 OK\r\n" + fields + "\r\n", ""},
		"after informational":   {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\n", "ok"},
		"lines end with LF":     {"HTTP/1.1 200 OK\nId: 1\nMark: m\nContent-Length: 2\n\n", "ok"},
		"protocol version 1.0":  {"HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\n", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			whole := c.head + c.body
			for at := range len(whole) {
				for _, reset := range []bool{false, true} {
					u := serve(t, func(conn net.Conn, _ *http.Request) {
						_, _ = io.WriteString(conn, whole[:at])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					})
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					resp, err := forward.NewClient(dialect{}).Send(ctx, u.Upstream, request("1"))
					if err == nil {
						g.Expect(at).To(BeNumerically(">=", len(c.head)), "cut in the head")
						_, err = io.ReadAll(resp)
						resp.Close()
						g.Expect(err).To(HaveOccurred(), "cut at %d, reset %v", at, reset)
					} else {
						g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun), "cut at %d, reset %v", at, reset)
					}
					cancel()
				}
			}
		})
	}
}
