package rpc_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a successful call that is reported as failed, and against a
// server's verdict that the client does not get.
func TestCallResults(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer(map[string]rpc.MethodFunc{
		"double": rpc.Method(func(_ context.Context, n int) (int, error) { return 2 * n, nil }),
		"refuse": rpc.Method(func(context.Context, int) (int, error) {
			return 0, verdict.Refuse(verdict.ReasonDraining, "leaving")
		}),
	})
	go func() { _ = server.Serve(ctx, listener) }()
	client := rpc.NewClient()
	defer client.Close()
	addr := listener.Addr().String()
	var result int
	g.Expect(client.Call(ctx, addr, "double", 21, &result)).To(Succeed())
	g.Expect(result).To(Equal(42))
	err = client.Call(ctx, addr, "refuse", 1, &result)
	g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonDraining))
	g.Expect(verdict.Of(err).Execution).To(Equal(verdict.NotRun))
}

// Guards against reporting a call that was sent, and whose connection then ended,
// as one that was never sent: the server may have executed it.
func TestConnectionLostBeforeAnswer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	client := rpc.NewClient()
	defer client.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	err = client.Call(t.Context(), listener.Addr().String(), "double", 21, nil)
	g.Expect(err).To(MatchError(rpc.ErrConnectionLost))
	g.Expect(listener.Close()).To(Succeed())
	err = client.Call(t.Context(), listener.Addr().String(), "double", 21, nil)
	g.Expect(err).To(MatchError(rpc.ErrUnreachable))
}

// cutConn simulates a cut network path: once cut is closed, what is written is
// lost without an error.
type cutConn struct {
	net.Conn
	cut chan struct{}
}

func (c *cutConn) Write(p []byte) (int, error) {
	select {
	case <-c.cut:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Guards against calls that wait on a connection from before a network cut once
// the path works again: the next TCP retransmission may be minutes away, and until
// then the gossip detector considers a live entry dead.
func TestCallsAfterNetworkCutUseNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server := rpc.NewServer(map[string]rpc.MethodFunc{
			"double": rpc.Method(func(_ context.Context, n int) (int, error) { return 2 * n, nil }),
		})
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		go func() { _ = server.Serve(ctx, listener) }()
		client := rpc.NewClient()
		defer client.Close()
		cut, dials := make(chan struct{}), 0
		client.Dial = func(context.Context, *net.Dialer, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			listener.conns <- far
			dials++
			if dials == 1 {
				return &cutConn{Conn: near, cut: cut}, nil
			}
			return near, nil
		}
		call := func() error {
			limited, stop := context.WithTimeout(ctx, 600*time.Millisecond)
			defer stop()
			return client.Call(limited, "peer", "double", 21, nil)
		}
		g.Expect(call()).To(Succeed())
		close(cut)
		g.Expect(call()).To(MatchError(context.DeadlineExceeded))
		for range 10 {
			g.Expect(call()).To(Succeed())
		}
		g.Expect(dials).To(Equal(2))
	})
}

// Guards against replacing the connection whenever a long poll is cancelled, as
// entries do when a request needs an answer sooner. Only an expired deadline hints
// at a cut.
func TestCancelledCallKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server := rpc.NewServer(map[string]rpc.MethodFunc{
			"wait": rpc.Method(func(ctx context.Context, d time.Duration) (bool, error) {
				select {
				case <-time.After(d):
				case <-ctx.Done():
				}
				return true, nil
			}),
		})
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		go func() { _ = server.Serve(ctx, listener) }()
		client := rpc.NewClient()
		defer client.Close()
		dials := 0
		client.Dial = func(context.Context, *net.Dialer, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			listener.conns <- far
			dials++
			return near, nil
		}
		for range 5 {
			polling, stop := context.WithCancel(ctx)
			time.AfterFunc(2*time.Second, stop)
			g.Expect(client.Call(polling, "peer", "wait", 10*time.Second, nil)).To(MatchError(context.Canceled))
		}
		g.Expect(dials).To(Equal(1))
	})
}

// pipeListener accepts the server ends of pipes from conns.
type pipeListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// failingWriteConn is a connection whose writes fail while its reads still block.
type failingWriteConn struct{ net.Conn }

func (failingWriteConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
}

// Guards against a failed write that is not reported as ErrConnectionLost: the
// claim would not be sent to the next owner, and later calls would fail on the same
// connection.
func TestFailedWriteReportsConnectionLost(t *testing.T) {
	g := NewWithT(t)
	client := rpc.NewClient()
	defer client.Close()
	dials := 0
	client.Dial = func(context.Context, *net.Dialer, string, string) (net.Conn, error) {
		dials++
		near, _ := net.Pipe()
		return failingWriteConn{near}, nil
	}
	for n := range 2 {
		err := client.Call(t.Context(), "peer", "double", 21, nil)
		g.Expect(err).To(MatchError(rpc.ErrConnectionLost))
		g.Expect(dials).To(Equal(n + 1))
	}
}
