package abort_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/abort"
)

// Guards against a response that ends early and looks complete, by the version of the protocol
// and with TLS.
func TestAbortedResponseLooksIncomplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, secure := range []bool{false, true} {
			g := NewWithT(t)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if r.URL.Path == "/cut" {
					abort.Response(w, r)
				}
			}))
			dial := func() (net.Conn, error) { return net.Dial("tcp", server.Listener.Addr().String()) }
			if secure {
				server.StartTLS()
				dial = func() (net.Conn, error) {
					return tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
				}
			} else {
				server.Start()
			}
			t.Cleanup(server.Close)
			read := func(path string) error {
				conn, err := dial()
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				_, err = io.WriteString(conn, "GET "+path+" "+version+"\r\nHost: h\r\nConnection: close\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
				return err
			}
			g.Expect(read("/whole")).To(Succeed(), "%s, TLS %v", version, secure)
			g.Expect(read("/cut")).NotTo(Succeed(), "%s, TLS %v", version, secure)
		}
	}
}
