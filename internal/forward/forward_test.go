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

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// dialect uses header names of its own, so that the package is tested independently
// of any platform.
type dialect struct{ fleet.Dialect }

func (dialect) ParseAnswer(_ int, h http.Header) fleet.AnswerInfo {
	return fleet.AnswerInfo{ID: h.Get("Id"), Sealed: h.Get("Mark") != "", NotRun: h.Get("Not-Run") != ""}
}

// upstream handles each request with the next script.
type upstream struct {
	*fleet.Upstream
	conns atomic.Int32
	// closed receives a value when the client closes a connection.
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

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nMark: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func sendText(text string) script {
	return func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

func request(id string) *forward.Request {
	return &forward.Request{ID: id, Method: http.MethodPost, URI: "/a%20b?x=1", Host: "h.example", Header: http.Header{"X-One": {"1", "2"}}, Body: []byte("body")}
}

func read(t *testing.T, a *forward.Response) (string, error) {
	t.Helper()
	body, err := io.ReadAll(a)
	a.Close()
	return string(body), err
}

// Guards against a request that is sent although it must not be any more when the
// connection is ready, and against a failed check that is reported as a failed attempt.
func TestCheckBeforeSend(t *testing.T) {
	g := NewWithT(t)
	var received atomic.Int32
	u := serve(t, func(net.Conn, *http.Request) { received.Add(1) })
	refused := errors.New("refused")
	client := forward.NewClient(dialect{})
	_, err := client.Send(context.Background(), u.Upstream, &forward.Request{ID: "1", Method: http.MethodPost, URI: "/", Check: func() error {
		g.Eventually(u.conns.Load).Should(Equal(int32(1)), "the check comes after the connection")
		return refused
	}})
	g.Expect(err).To(MatchError(refused))
	g.Eventually(u.closed).Should(Receive())
	g.Expect(received.Load()).To(BeZero())
}

// Guards against changing a request when it is forwarded, and against opening a new
// connection for each request.
func TestRequestsAreForwardedUnchangedOverOneConnection(t *testing.T) {
	g := NewWithT(t)
	var got string
	record := func(conn net.Conn, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		got = fmt.Sprint(req.Method, " ", req.RequestURI, " ", req.Host, " ", req.Header["X-One"], " ", string(body))
		_, _ = io.WriteString(conn, response("1", "ok"))
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

// Guards against a request that goes on with two Content-Length headers, the caller's and
// that of the body that is sent: a strict upstream refuses it.
func TestContentLengthIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, 1<<10)
		n, _ := conn.Read(buffer)
		received <- string(buffer[:n])
		_, _ = io.WriteString(conn, response("1", "ok"))
	}()
	req := request("1")
	req.Header.Set("Content-Length", "4")
	a, err := forward.NewClient(dialect{}).Send(context.Background(), &fleet.Upstream{Name: "u", Address: listener.Addr().String()}, req)
	g.Expect(err).NotTo(HaveOccurred())
	a.Close()
	g.Expect(strings.Count(<-received, "Content-Length: 4\r\n")).To(Equal(1))
}

// Guards against an upstream's idle timeout that is lost when its headers are passed on
// before the connection goes back to the pool: the next request fails on a connection
// that the upstream closes.
func TestIdleTimeoutOfTheUpstreamIsKept(t *testing.T) {
	g := NewWithT(t)
	answer := strings.Replace(response("1", "ok"), "Mark: 1\r\n", "Mark: 1\r\nKeep-Alive: timeout=0\r\n", 1)
	u := serve(t, sendText(answer), sendText(answer))
	client := forward.NewClient(dialect{})
	for range 2 {
		a, err := client.Send(context.Background(), u.Upstream, request("1"))
		g.Expect(err).NotTo(HaveOccurred())
		a.Header.Del("Keep-Alive")
		g.Expect(read(t, a)).To(Equal("ok"))
	}
	g.Expect(u.conns.Load()).To(Equal(int32(2)))
}

// Guards against returning the response to another request: an upstream may send a
// late or duplicate response before the one that is expected.
func TestStrayResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	u := serve(t, sendText(response("old", "wrong")+response("1", "right")))
	a, err := forward.NewClient(dialect{}).Send(context.Background(), u.Upstream, request("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read(t, a)).To(Equal("right"))
}

// Guards against reusing a connection with unread bytes: an upstream may send a second
// response together with the first or before the next request.
func TestConnectionsWithUnreadBytesAreClosed(t *testing.T) {
	for name, parts := range map[string][]string{
		"with the first response": {response("1", "one") + response("1", "extra")},
		"later":                   {response("1", "one"), response("1", "extra")},
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
			u := serve(t, extra, sendText(response("2", "two")))
			client := forward.NewClient(dialect{})
			a, err := client.Send(context.Background(), u.Upstream, request("1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read(t, a)).To(Equal("one"))
			<-written
			time.Sleep(20 * time.Millisecond) // Waits until the loopback interface has delivered the bytes.
			a, err = client.Send(context.Background(), u.Upstream, request("2"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read(t, a)).To(Equal("two"))
			g.Expect(u.conns.Load()).To(Equal(int32(2)))
		})
	}
}

// Guards against taking a duplicate response to a request for the response to the
// next one on the same connection. It arrives after the connection was checked for
// unread bytes.
func TestDuplicateResponseDuringNextRequest(t *testing.T) {
	g := NewWithT(t)
	duplicate := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, response("1", "extra")+response("2", "two"))
	}
	u := serve(t, sendText(response("1", "one")), duplicate)
	client := forward.NewClient(dialect{})
	for id, want := range []string{"one", "two"} {
		a, err := client.Send(context.Background(), u.Upstream, request(strconv.Itoa(id+1)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read(t, a)).To(Equal(want))
	}
	g.Expect(u.conns.Load()).To(Equal(int32(1)))
}

// Guards against a NotRun verdict for a request that an upstream has read, and against
// accepting bytes that are not a valid response.
func TestInvalidResponsesMayHaveRun(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":                            "",
		"not HTTP":                           "hello\r\n\r\n",
		"incomplete head":                    "HTTP/1.1 200 OK\r\nId: 1",
		"success without mark":               "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"success without an id":              "HTTP/1.1 200 OK\r\nMark: 1\r\nContent-Length: 0\r\n\r\n",
		"only a response to another request": response("old", "wrong"),
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

// Guards against a MayHaveRun verdict for a request that was never sent.
func TestUnreachableUpstreamDidNotRun(t *testing.T) {
	u := &fleet.Upstream{Name: "u", Address: "127.0.0.1:1"}
	_, err := forward.NewClient(dialect{}).Send(context.Background(), u, request("1"))
	NewWithT(t).Expect(verdict.Of(err).Execution).To(Equal(verdict.NotRun))
}

// Guards against taking a truncated response for a complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
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

// Guards against reusing a connection whose upstream responded before it had read the
// whole request body: it would parse the rest of the body as a request.
func TestEarlyResponseToLargeBody(t *testing.T) {
	g := NewWithT(t)
	first := true
	early := func(conn net.Conn, _ *http.Request) {
		if first {
			first = false
			_, _ = io.WriteString(conn, response("1", "early"))
			time.Sleep(50 * time.Millisecond)
			return
		}
		_, _ = io.WriteString(conn, response("2", "next"))
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

// Guards against an upstream that keeps working on a request after the caller has
// disconnected: the end of the context has to close the connection.
func TestContextEndClosesConnection(t *testing.T) {
	g := NewWithT(t)
	u := serve(t, sendText("HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"))
	ctx, cancel := context.WithCancel(context.Background())
	a, err := forward.NewClient(dialect{}).Send(ctx, u.Upstream, request("1"))
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	g.Eventually(u.closed).WithTimeout(time.Second).Should(Receive())
	_, err = read(t, a)
	g.Expect(err).To(HaveOccurred())
}

// Guards against reusing a connection after the idle timeout that the upstream gave in
// its Keep-Alive header.
func TestIdleTimeoutIsRespected(t *testing.T) {
	g := NewWithT(t)
	keep := "HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"
	u := serve(t, sendText(keep), sendText(keep))
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
