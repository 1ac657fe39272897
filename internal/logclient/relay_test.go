package logclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var (
	_ platform.Log       = (*logclient.Relay)(nil)
	_ platform.Log       = (*logclient.RelayClient)(nil)
	_ logclient.Appender = (*logclient.Writer)(nil)
)

// relayTest runs f in virtual time with a relay at the address "relay" and a
// client that first tries the unreachable address "gone". counted counts the
// relay's reads from the log.
func relayTest(t *testing.T, cfg logclient.RelayConfig, f func(ctx context.Context, g *WithT, stored *standin.Log, counted *countingLog, client *logclient.RelayClient)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		counted := &countingLog{Log: stored}
		writerTest(t, stored, counted, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			relay := logclient.NewRelay(counted, w, cfg, stream)
			go func() { _ = relay.Run(ctx) }()
			synctest.Wait()
			caller := &localCaller{methods: map[string]map[string]rpc.MethodFunc{"relay": relay.Methods()}}
			f(ctx, g, stored, counted, logclient.NewRelayClient(caller, func() []string { return []string{"gone", "relay"} }))
		})
	})
}

// Guards against reads of the log that grow with the number of the relay's
// readers, and against readers that miss records.
func TestRelayServesManyReaders(t *testing.T) {
	relayTest(t, logclient.RelayConfig{}, func(ctx context.Context, g *WithT, _ *standin.Log, counted *countingLog, client *logclient.RelayClient) {
		const readers = 44
		done := make(chan []state.Offset, readers)
		for range readers {
			go func() {
				seen, _, _ := collect(ctx, client, 0, 20)
				done <- seen
			}()
		}
		for i := range 10 {
			first, err := client.Append(ctx, stream, numberedRecords(fmt.Sprint(i), 2))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first).To(Equal(state.Offset(2 * i)))
		}
		for range readers {
			g.Expect(<-done).To(HaveLen(20))
		}
		g.Expect(counted.count()).To(BeNumerically("<", 20))
	})
}

// Guards against reads of recent records that fail while the log is down, and
// against a read without wait that is answered from a possibly outdated window.
func TestRelayDuringOutage(t *testing.T) {
	relayTest(t, logclient.RelayConfig{}, func(ctx context.Context, g *WithT, stored *standin.Log, _ *countingLog, client *logclient.RelayClient) {
		_, err := client.Append(ctx, stream, numberedRecords("a", 3))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		stored.SetFaults(standin.LogFaults{Outage: true})
		page, err := client.Read(ctx, stream, 1, 10, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Records).To(HaveLen(2))
		_, err = client.Read(ctx, stream, 1, 10, 0)
		g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "%v", err)
		_, err = client.Append(ctx, stream, numberedRecords("b", 1))
		g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "%v", err)
		stored.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		g.Expect(stored.Records(stream)).To(HaveLen(3), "a refused append must not be stored later")
	})
}

// Guards against skipping records older than the window, and against a
// truncation that is not reported to the reader.
func TestRelayFallsThroughToLog(t *testing.T) {
	relayTest(t, logclient.RelayConfig{Window: 5}, func(ctx context.Context, g *WithT, stored *standin.Log, _ *countingLog, client *logclient.RelayClient) {
		for i := range 4 {
			_, err := client.Append(ctx, stream, numberedRecords(fmt.Sprint(i), 4))
			g.Expect(err).NotTo(HaveOccurred())
		}
		seen, _, _ := collect(ctx, client, 0, 16)
		g.Expect(seen).To(HaveLen(16))
		stored.Truncate(stream, 8)
		_, _, err := collect(ctx, client, 3, 16)
		var truncated *logclient.TruncatedError
		g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
		g.Expect(truncated.Oldest).To(Equal(state.Offset(8)))
	})
}

// Guards against an append of unknown outcome that is retried at a second
// relay, which could store it twice, or that is reported as not stored.
func TestRelayClientReportsUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	caller := &localCaller{methods: map[string]map[string]rpc.MethodFunc{
		"a": {rpc.MethodRelayAppend: func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("connection lost") }},
		"b": {},
	}}
	client := logclient.NewRelayClient(caller, func() []string { return []string{"b", "a", "b"} })
	_, err := client.Append(t.Context(), stream, numberedRecords("a", 1))
	g.Expect(errors.Is(err, platform.ErrUnknownOutcome)).To(BeTrue(), "%v", err)
	g.Expect(caller.calls).To(Equal([]string{"b", "a"}))
}
