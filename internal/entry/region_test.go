package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// testRegion is a region's entries with their control sides in one process and
// in virtual time. They share a log.
type testRegion struct {
	t       *testing.T
	log     *standin.Log
	network *fakeNetwork
	meter   Meter
	members []*member
}

// member is an entry of a testRegion.
type member struct {
	*Entry
	log  *linkLog
	stop context.CancelFunc
	done chan struct{}
}

// linkLog is one process's connection to a log. It counts the answers to
// reads by stream.
type linkLog struct {
	platform.Log
	mu     sync.Mutex
	cut    bool
	held   chan struct{}
	reads  map[platform.Stream]int
	append int
}

// Read implements platform.Log.
func (l *linkLog) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	l.reads[stream]++
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "cut off")
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Append implements platform.Log. While appends are held, each reaches the log
// when they are let go, whatever became of its caller.
func (l *linkLog) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	l.mu.Lock()
	cut, held := l.cut, l.held
	l.append++
	l.mu.Unlock()
	if cut {
		return state.NoOffset, errors.Wrap(platform.ErrUnavailable, "cut off")
	}
	if held != nil {
		<-held
		return l.Log.Append(context.WithoutCancel(ctx), stream, records)
	}
	return l.Log.Append(ctx, stream, records)
}

func (l *linkLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// hold keeps the appends back until the returned function is called.
func (l *linkLog) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(chan struct{})
	l.held = held
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = nil
		close(held)
	}
}

func (l *linkLog) readsOf(stream platform.Stream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads[stream]
}

// newTestRegion prepares a region; connected lets its entries call each other.
func newTestRegion(t *testing.T, cfg standin.LogConfig) *testRegion {
	t.Helper()
	meter, err := telemetry.Start(t.Context(), settings.DefaultEntry().Common)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return &testRegion{t: t, log: standin.NewLog(cfg), network: newFakeNetwork(), meter: meter}
}

func peersOf(region state.Region, count int) []settings.Peer {
	var peers []settings.Peer
	for i := range count {
		name := fmt.Sprintf("%s%d", region, i)
		peers = append(peers, settings.Peer{Name: state.EntryName(name), Region: region, DataCentre: "d", Control: name})
	}
	return peers
}

// add starts entry number i of a region with the given peers.
func (r *testRegion) add(region state.Region, i int, peers []settings.Peer, retention time.Duration) *member {
	m := r.prepare(region, i, peers, retention)
	r.start(m)
	return m
}

func (r *testRegion) prepare(region state.Region, i int, peers []settings.Peer, retention time.Duration) *member {
	cfg := settings.DefaultEntry()
	cfg.Name = fmt.Sprintf("%s%d", region, i)
	cfg.Region, cfg.DataCentre, cfg.Listen.Control, cfg.Peers = region, "d", cfg.Name, peers
	link := &linkLog{Log: r.log, reads: make(map[platform.Stream]int)}
	m := &member{log: link, done: make(chan struct{})}
	m.Entry = New(cfg, Deps{
		Log: link, Caller: r.network, Logger: slog.New(slog.DiscardHandler),
		Meter: r.meter, Retention: retention,
	})
	return m
}

func (r *testRegion) start(m *member) {
	ctx, stop := context.WithCancel(r.t.Context())
	m.stop = func() {
		stop()
		r.network.serve(m.cfg.Name, nil)
		<-m.done
	}
	group, groupCtx := errgroup.WithContext(ctx)
	// Claim shards, hosts and the audit trail play no part here.
	region := platform.RegionStream(m.cfg.Region)
	group.Go(func() error { return m.writer.Run(groupCtx) })
	group.Go(func() error { return m.relay.Run(groupCtx) })
	group.Go(func() error { return m.control.run(groupCtx) })
	group.Go(func() error { return m.control.followStream(groupCtx, m.relay, platform.StreamConfig) })
	group.Go(func() error { return m.control.followStream(groupCtx, m.relay, region) })
	go func() {
		defer close(m.done)
		_ = group.Wait()
	}()
	r.members = append(r.members, m)
}

// connect lets the others call m.
func (r *testRegion) connect(m *member) { r.network.serve(m.cfg.Name, m.methods()) }

func (r *testRegion) stopAll() {
	for _, m := range r.members {
		m.stop()
	}
}

// pause stops the control goroutine until the returned function is called.
func (m *member) pause() (resume func()) {
	held := make(chan struct{})
	m.control.post(context.Background(), heldEvent{held})
	return func() { close(held) }
}

type heldEvent struct{ held chan struct{} }

func (e heldEvent) apply(*control, time.Time) { <-e.held }

func teamChange(name string) state.ConfigChange {
	value, _ := json.Marshal(state.Team{Name: state.TeamName(name)})
	return state.ConfigChange{Entity: state.EntityTeam, Name: name, Value: value, Actor: "op"}
}

func appendTo[B state.Body](g Gomega, log platform.Log, stream platform.Stream, kind state.Kind, body B) state.Offset {
	at, err := log.Append(context.Background(), stream, []state.Record{newTestRecord(g, kind, body)})
	g.Expect(err).NotTo(HaveOccurred())
	return at
}

func newTestRecord[B state.Body](g Gomega, kind state.Kind, body B) state.Record {
	record, err := state.NewRecord(fmt.Sprint("t", testRecords.Add(1)), state.ProcessID{Name: "test", Incarnation: "1"}, kind, body)
	g.Expect(err).NotTo(HaveOccurred())
	return record
}

// testRecords numbers the records of the tests.
var testRecords atomic.Int64
