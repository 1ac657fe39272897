package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// dialect has headers of its own, so that the package is tested without those
// of a platform.
type dialect struct{ fleet.Dialect }

func (dialect) ParseAnswer(_ int, h http.Header) fleet.AnswerInfo {
	return fleet.AnswerInfo{ID: h.Get("Id"), Sealed: h.Get("Mark") != "", NotRun: h.Get("Not-Run") != ""}
}

// upstream serves each request on a connection with the next script.
type upstream struct {
	*fleet.Upstream
	conns atomic.Int32
	// closed is closed when the other side closes a connection.
	closed chan struct{}
}

type script func(conn net.Conn, req *http.Request)

func serve(t *testing.T, scripts ...script) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{Upstream: &fleet.Upstream{Name: "u", Address: listener.Addr().String()}, closed: make(chan struct{}, 16)}
	next := make(chan script, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.handle(conn, next)
		}
	}()
	return u
}

func (u *upstream) handle(conn net.Conn, next chan script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			u.closed <- struct{}{}
			return
		}
		select {
		case run := <-next:
			run(conn, req)
		default:
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nMark: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func say(text string) script {
	return func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

func request(id string) *forward.Request {
	return &forward.Request{ID: id, Method: http.MethodPost, URI: "/a%20b?x=1", Host: "h.example", Header: http.Header{"X-One": {"1", "2"}}, Body: []byte("body")}
}

func read(t *testing.T, a *forward.Answer) (string, error) {
	t.Helper()
	body, err := io.ReadAll(a)
	a.Close()
	return string(body), err
}

// Guards against a request that is changed on its way, and a connection that is
// opened anew for each request.
func TestRequestsGoUnchangedOverOneConnection(t *testing.T) {
	g := NewWithT(t)
	var got string
	record := func(conn net.Conn, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		got = fmt.Sprint(req.Method, " ", req.RequestURI, " ", req.Host, " ", req.Header["X-One"], " ", string(body))
		_, _ = io.WriteString(conn, answer("1", "ok"))
	}
	u := serve(t, record, record)
	client := forward.NewClient(dialect{})
	for range 2 {
		a, err := client.Send(context.Background(), u.Upstream, request("1"))
		g.Expect(err).NotTo(HaveOccurred())
		body, err := read(t, a)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(got).To(Equal("POST /a%20b?x=1 h.example [1 2] body"))
	g.Expect(u.conns.Load()).To(Equal(int32(1)))
}

// Guards against an answer to another request that reaches a caller: one that
// came late, or twice, where the next answer is due.
func TestStrayAnswersArePassedOver(t *testing.T) {
	g := NewWithT(t)
	u := serve(t, say(answer("old", "wrong")+answer("1", "right")))
	a, err := forward.NewClient(dialect{}).Send(context.Background(), u.Upstream, request("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read(t, a)).To(Equal("right"))
}

// Guards against a connection that is used again although a second answer waits
// on it, with the first or by the time of the next request.
func TestConnectionsWithBytesLeftAreClosed(t *testing.T) {
	for name, parts := range map[string][]string{
		"with the first": {answer("1", "one") + answer("1", "extra")},
		"later":          {answer("1", "one"), answer("1", "extra")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			written := make(chan struct{})
			extra := func(conn net.Conn, _ *http.Request) {
				for _, part := range parts {
					_, _ = io.WriteString(conn, part)
				}
				close(written)
			}
			u := serve(t, extra, say(answer("2", "two")))
			client := forward.NewClient(dialect{})
			a, err := client.Send(context.Background(), u.Upstream, request("1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read(t, a)).To(Equal("one"))
			<-written
			time.Sleep(20 * time.Millisecond) // Loopback delivers what was written.
			a, err = client.Send(context.Background(), u.Upstream, request("2"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read(t, a)).To(Equal("two"))
			g.Expect(u.conns.Load()).To(Equal(int32(2)))
		})
	}
}

// Guards against the second answer of a request that comes while the next one is
// under way on its connection, after all checks of it.
func TestSecondAnswerMeetsTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	late := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, answer("1", "extra")+answer("2", "two"))
	}
	u := serve(t, say(answer("1", "one")), late)
	client := forward.NewClient(dialect{})
	for id, want := range []string{"one", "two"} {
		a, err := client.Send(context.Background(), u.Upstream, request(strconv.Itoa(id+1)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read(t, a)).To(Equal(want))
	}
	g.Expect(u.conns.Load()).To(Equal(int32(1)))
}

// Guards against a verdict of "not run" for a request that an upstream has read,
// and against bytes that are no answer taken for one.
func TestBrokenAnswersMayHaveRun(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":               "",
		"no protocol":           "hello\r\n\r\n",
		"half a head":           "HTTP/1.1 200 OK\r\nId: 1",
		"success without mark":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"success without an id": "HTTP/1.1 200 OK\r\nMark: 1\r\nContent-Length: 0\r\n\r\n",
		"only another's answer": answer("old", "wrong"),
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			_, err := forward.NewClient(dialect{}).Send(context.Background(), u.Upstream, request("1"))
			NewWithT(t).Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
		})
	}
}

// Guards against a request called "may have run" that never left.
func TestUnreachableUpstreamDidNotRun(t *testing.T) {
	u := &fleet.Upstream{Name: "u", Address: "127.0.0.1:1"}
	_, err := forward.NewClient(dialect{}).Send(context.Background(), u, request("1"))
	NewWithT(t).Expect(verdict.Of(err).Execution).To(Equal(verdict.NotRun))
}

// Guards against a cut answer that looks whole.
func TestCutAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := serve(t, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			a, err := forward.NewClient(dialect{}).Send(context.Background(), u.Upstream, request("1"))
			g.Expect(err).NotTo(HaveOccurred())
			body, err := read(t, a)
			g.Expect(body).To(Equal("half"))
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		})
	}
}

// Guards against a connection that is used again although the upstream answered
// before it had read the whole body: the rest would be taken for a request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	g := NewWithT(t)
	first := true
	early := func(conn net.Conn, _ *http.Request) {
		if first {
			first = false
			_, _ = io.WriteString(conn, answer("1", "early"))
			time.Sleep(50 * time.Millisecond)
			return
		}
		_, _ = io.WriteString(conn, answer("2", "next"))
	}
	u := serve(t, early, early)
	client := forward.NewClient(dialect{})
	req := request("1")
	req.Body = []byte(strings.Repeat("x", 8<<20))
	a, err := client.Send(context.Background(), u.Upstream, req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read(t, a)).To(Equal("early"))
	a, err = client.Send(context.Background(), u.Upstream, request("2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read(t, a)).To(Equal("next"))
	g.Expect(u.conns.Load()).To(Equal(int32(2)))
}

// Guards against work that goes on at an upstream after its caller has left.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	u := serve(t, say("HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"))
	ctx, cancel := context.WithCancel(context.Background())
	a, err := forward.NewClient(dialect{}).Send(ctx, u.Upstream, request("1"))
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	g.Eventually(u.closed).WithTimeout(time.Second).Should(Receive())
	_, err = read(t, a)
	g.Expect(err).To(HaveOccurred())
}

// Guards against a connection that is used after the upstream has given it up.
func TestIdleTimeIsKept(t *testing.T) {
	g := NewWithT(t)
	keep := "HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"
	u := serve(t, say(keep), say(keep))
	client := forward.NewClient(dialect{})
	for range 2 {
		a, err := client.Send(context.Background(), u.Upstream, request("1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = read(t, a)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(u.conns.Load()).To(Equal(int32(2)))
	client.Retain(nil)
	g.Eventually(u.closed).WithTimeout(time.Second).Should(Receive())
}
