package logclient_test

import (
	"context"
	"net"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against pages, errors and truncations that are lost or changed on the
// way over real network connections.
func TestRelayOverConnections(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stored := standin.NewLog(standin.LogConfig{})
	writer := logclient.NewWriter(rejectingLog{stored, "bad"}, logclient.WriterConfig{Delay: -1})
	relay := logclient.NewRelay(stored, writer, logclient.RelayConfig{}, stream)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 3)
	for _, run := range []func() error{
		func() error { return writer.Run(ctx) },
		func() error { return relay.Run(ctx) },
		func() error { return rpc.NewServer(relay.Methods()).Serve(ctx, listener) },
	} {
		go func() { done <- run() }()
	}
	caller := rpc.NewClient()
	defer caller.Close()
	client := logclient.NewRelayClient(caller, func() []string { return []string{"127.0.0.1:1", listener.Addr().String()} })
	first, err := client.Append(ctx, stream, numberedRecords("a", 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(state.Offset(0)))
	_, err = client.Append(ctx, stream, numberedRecords("b", 1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Append(ctx, stream, []state.Record{record("bad")})
	g.Expect(errors.Is(err, platform.ErrRejected)).To(BeTrue(), "%v", err)
	seen, _, err := collect(ctx, client, 0, 4)
	g.Expect(err).To(MatchError(errDone))
	g.Expect(seen).To(HaveLen(4))
	stored.Truncate(stream, 2)
	page, err := client.Read(ctx, stream, 0, 10, 0)
	g.Expect(errors.Is(err, platform.ErrTruncated)).To(BeTrue(), "%v", err)
	g.Expect(page.Oldest).To(Equal(state.Offset(2)))
	cancel()
	for range cap(done) {
		g.Expect(<-done).To(Succeed())
	}
}
