package rpc_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a successful call that is reported as failed, and against a
// verdict that is lost on its way.
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

// Guards against a call whose connection ended being taken for one that was
// never sent.
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
