package rpc_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// byteTotals adds up the bytes that a client sends and receives.
type byteTotals struct{ sent, received atomic.Int64 }

func (m *byteTotals) ControlBytes(sent, received int) {
	m.sent.Add(int64(sent))
	m.received.Add(int64(received))
}

// typicalPart returns an upstream's part of the streams with four granted models,
// all of them in the intent, and three adapters for each model.
func typicalPart() state.UpstreamPart {
	part := state.UpstreamPart{
		Upstream:     "runner-00042",
		Registration: &state.AgentRegistration{Upstream: "runner-00042", Incarnation: uuid.NewString(), Token: 12_345_678, Fencing: state.FencingIgnored, Host: "host-00042"},
		Intent:       &state.IntentSet{Upstream: "runner-00042", Agent: 12_345_678, Offset: 12_345_690, Record: uuid.NewString(), Orders: 1},
	}
	for i := range 4 {
		key := state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("captions-%03d", i)), Version: "2026-11"}
		part.Intent.Models = append(part.Intent.Models, key)
		part.Grants = append(part.Grants, state.Grant{ID: 12_000_000, ReplicaKey: key, Upstream: part.Upstream, Epoch: 11_000_000})
		part.Versions = append(part.Versions, state.ModelVersion{Model: key.Model, Name: key.Version, Weights: 14 * state.GiB, KVHeadroom: 6 * state.GiB})
		for j := range 3 {
			name := state.AdapterName(fmt.Sprintf("%s-a%d", key.Model, j))
			part.Adapters = append(part.Adapters, state.Adapter{Name: name, Team: "archive", Model: key.Model, Size: 200 * state.MiB})
		}
	}
	return part
}

// BenchmarkMessages measures the round trip of a call over loopback and the bytes
// on the wire of its request and its response.
func BenchmarkMessages(b *testing.B) {
	part := typicalPart()
	at := rpc.PartOffsets{Config: 27_375_000, Region: 12_345_690}
	ask := rpc.PartParams{
		PartQuery: state.PartQuery{Upstream: part.Upstream, Host: "host-00042"}, AtLeast: at, Known: part.Sum(),
	}
	beat := rpc.Heartbeat{Agent: 12_345_678, Sequence: 17}
	full := beat
	full.Full, full.Upstream = true, part.Upstream
	full.Incarnation, full.State, full.Entries = part.Registration.Incarnation, rpc.AgentServing, part.Sum()
	for _, grant := range part.Grants {
		replica := state.Replica{ReplicaKey: grant.ReplicaKey, Upstream: part.Upstream, State: state.ReplicaReady}
		full.Replicas = append(full.Replicas, replica)
	}
	ping := rpc.Ping{From: "entry-north-17", Sum: uint32(part.Sum())}
	busy := ping
	for i := range 6 {
		busy.Updates = append(busy.Updates, rpc.EntryUpdate{
			Name: state.EntryName(fmt.Sprintf("entry-north-%02d", i)), Incarnation: 1_800_000_000_000,
			Health: 1, Control: "10.20.30.40:7001", Run: uuid.NewString()[:8],
		})
	}
	b.Run("part=unchanged", func(b *testing.B) {
		benchmarkCall(b, rpc.MethodPart, ask, rpc.PartResult{PartOffsets: at})
	})
	b.Run("part=changed", func(b *testing.B) {
		benchmarkCall(b, rpc.MethodPart, ask, rpc.PartResult{PartOffsets: at, Sum: part.Sum(), Part: &part})
	})
	b.Run("heartbeat=unchanged", func(b *testing.B) { benchmarkCall(b, rpc.MethodHeartbeat, beat, rpc.HeartbeatResult{}) })
	b.Run("heartbeat=full", func(b *testing.B) { benchmarkCall(b, rpc.MethodHeartbeat, full, rpc.HeartbeatResult{}) })
	status := rpc.AgentStatus{Heartbeat: full, Memory: 80 * state.GiB, Grants: part.Grants, Concurrency: 16}
	status.Cached = make(map[string]platform.CacheTier)
	for _, grant := range part.Grants {
		status.Cached[grant.Path()] = platform.CacheMemory
	}
	b.Run("status=before", func(b *testing.B) { benchmarkCall(b, rpc.MethodAgentStatus, struct{}{}, status) })
	status.LoadRates = map[platform.CacheTier]state.Bytes{
		platform.CacheMemory: 2_345_678_901, platform.CacheDisk: 1_234_567_890, platform.CacheRemote: 512_345_678,
	}
	b.Run("status", func(b *testing.B) { benchmarkCall(b, rpc.MethodAgentStatus, struct{}{}, status) })
	share := rpc.StoreShareParams{Region: "north", Active: 3, Waiting: 9, Benefit: 12.5, Number: 86_400, Answered: 86_399}
	b.Run("share", func(b *testing.B) {
		benchmarkCall(b, rpc.MethodStoreShare, share, rpc.StoreShareResult{Given: true, PerSecond: 2.25, AtOnce: 3, For: state.Duration(3 * time.Second)})
	})
	b.Run("ping=quiet", func(b *testing.B) { benchmarkCall(b, rpc.MethodPing, ping, ping) })
	b.Run("ping=six-updates", func(b *testing.B) { benchmarkCall(b, rpc.MethodPing, busy, busy) })
}

func benchmarkCall[P, R any](b *testing.B, method string, params P, answer R) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := rpc.NewServer(map[string]rpc.MethodFunc{
		method: rpc.Method(func(context.Context, P) (R, error) { return answer, nil }),
	})
	go func() { _ = server.Serve(ctx, listener) }()
	meter := &byteTotals{}
	client := rpc.NewClient()
	client.Counter = meter
	defer client.Close()
	for b.Loop() {
		var result R
		if err := client.Call(ctx, listener.Addr().String(), method, params, &result); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(meter.sent.Load())/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(meter.received.Load())/float64(b.N), "received-B/op")
}
