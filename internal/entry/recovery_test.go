package entry

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// longConfig is a configuration whose snapshot has three parts and covers the
// given offset.
func longConfig(g Gomega, covered state.Offset) *state.Config {
	c := state.NewConfig()
	for i := range 9 {
		change := teamChange(fmt.Sprint("t", i))
		change.Value = []byte(fmt.Sprintf(`{"name":"t%d"}`, i))
		out := c.Apply(state.StoredRecord{Offset: state.Offset(i), Record: newTestRecord(g, state.KindConfigChange, change)})
		g.Expect(out.Effect).To(Equal(state.EffectApplied))
	}
	for i := range 3000 {
		caller := fmt.Sprintf(`{"name":"c%d%s","team":"t1","weight":1}`, i, strings.Repeat("x", 50))
		c.Apply(state.StoredRecord{Offset: state.Offset(9 + i), Record: newTestRecord(g, state.KindConfigChange, state.ConfigChange{
			Entity: state.EntityCaller, Name: fmt.Sprintf("c%d%s", i, strings.Repeat("x", 50)), Value: []byte(caller), Actor: "op",
		})})
	}
	c.Apply(state.StoredRecord{Offset: covered})
	return c
}

// snapshotsOf serves snapshots of a configuration.
func snapshotsOf(t *testing.T, c *state.Config) (rpc.MethodFunc, func(context.Context, rpc.SnapshotParams) (rpc.SnapshotResult, error)) {
	serving := newControl(controlConfig{name: "server", region: "r"},
		controlDeps{logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
	serving.config = c
	go func() {
		for {
			select {
			case e := <-serving.events:
				e.apply(serving, time.Now())
			case <-t.Context().Done():
				return
			}
		}
	}()
	server := &snapshotServer{control: serving}
	return rpc.Method(server.part), server.part
}

// Guards against a snapshot of another entry that is cut, mixed, damaged, not
// newer than the own tables, or that the log can't continue from.
func TestOnlyGoodSnapshotsOfOthersAreTaken(t *testing.T) {
	const oldest, end = 5000, 5100
	type answer = func(rpc.SnapshotParams, *rpc.SnapshotResult) error
	resum := func(covered state.Offset) answer {
		return func(_ rpc.SnapshotParams, r *rpc.SnapshotResult) error {
			r.Covered = covered
			return nil
		}
	}
	for name, tc := range map[string]struct {
		covered state.Offset
		change  answer
		taken   bool
	}{
		"whole":                  {covered: 5050, taken: true},
		"just continues":         {covered: oldest - 1, taken: true},
		"at the end":             {covered: end - 1, taken: true},
		"older than the log":     {covered: oldest - 2},
		"beyond the log":         {covered: end},
		"other covered offset":   {covered: 5050, change: resum(5051)},
		"covers too little":      {covered: 5050, change: resum(10)},
		"damaged":                {covered: 5050, change: func(p rpc.SnapshotParams, r *rpc.SnapshotResult) error { r.Data[7] ^= 1; return nil }},
		"fewer parts":            {covered: 5050, change: func(_ rpc.SnapshotParams, r *rpc.SnapshotResult) error { r.Parts = 1; return nil }},
		"cut part":               {covered: 5050, change: func(p rpc.SnapshotParams, r *rpc.SnapshotResult) error { r.Data = r.Data[:10]; return nil }},
		"endless":                {covered: 5050, change: func(_ rpc.SnapshotParams, r *rpc.SnapshotResult) error { r.Parts = 1 << 30; return nil }},
		"same part twice":        {covered: 5050, change: nil},
		"ends before its end":    {covered: 5050, change: func(p rpc.SnapshotParams, _ *rpc.SnapshotResult) error { return failAt(p, 2) }},
		"not a configuration":    {covered: 5050, change: garbage},
		"another entry's answer": {covered: 5050, change: func(p rpc.SnapshotParams, r *rpc.SnapshotResult) error { r.Sum++; return nil }},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			network := newFakeNetwork()
			_, honest := snapshotsOf(t, longConfig(g, tc.covered))
			network.serve("b", map[string]rpc.MethodFunc{rpc.MethodSnapshot: rpc.Method(
				func(ctx context.Context, p rpc.SnapshotParams) (rpc.SnapshotResult, error) {
					asked := p
					if name == "same part twice" && p.Part == 2 {
						asked.Part = 1
					}
					asked.AtLeast = 0
					result, err := honest(ctx, asked)
					result.Data = append([]byte(nil), result.Data...)
					if err == nil && tc.change != nil {
						err = tc.change(p, &result)
					}
					return result, err
				})})
			log := standin.NewLog(standin.LogConfig{})
			for range end / 100 {
				_, err := log.Append(t.Context(), platform.StreamConfig, make([]state.Record, 100))
				g.Expect(err).NotTo(HaveOccurred())
			}
			log.Truncate(platform.StreamConfig, oldest)
			c := newControl(controlConfig{name: "a", region: "r", peers: []rpc.Peer{{Name: "b", Control: "b"}}},
				controlDeps{caller: network, logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
			c.config.Apply(state.StoredRecord{Offset: 20})
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = c.run(ctx) }()
			r := &recovery{control: c, log: log, stream: platform.StreamConfig}
			next, ok := r.from(ctx, &logclient.TruncatedError{Stream: platform.StreamConfig, From: 21, Oldest: oldest, End: end})
			g.Expect(ok).To(Equal(tc.taken), name)
			got := <-c.snapshotNow()
			if tc.covered < oldest-1 {
				g.Expect(network.count("b", rpc.MethodSnapshot)).To(Equal(1), "its other parts are not fetched")
			}
			if !tc.taken {
				g.Expect(got.covered).To(Equal(state.Offset(20)), name)
				return
			}
			g.Expect(next).To(Equal(tc.covered+1), name)
			want, _ := longConfig(g, tc.covered).Snapshot()
			g.Expect(string(got.data) == string(want)).To(BeTrue(), name)
			g.Expect(network.count("b", rpc.MethodSnapshot)).To(Equal(3))
		})
	}
}

// Guards against an encoding for each of many entries that ask at once, against
// a snapshot that changes under those that fetch it, and against one that is
// kept for ever.
func TestSnapshotsForOthersAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tables := longConfig(g, 4000)
		_, part := snapshotsOf(t, tables)
		ask := func(p rpc.SnapshotParams) state.Offset {
			p.Stream = platform.StreamConfig
			result, err := part(t.Context(), p)
			if err != nil {
				return state.NoOffset
			}
			return result.Covered
		}
		sum := snapshotSum(platform.StreamConfig, 4000, first(tables.Snapshot()))
		g.Expect(ask(rpc.SnapshotParams{AtLeast: 4001})).To(Equal(state.NoOffset))
		g.Expect(ask(rpc.SnapshotParams{})).To(Equal(state.Offset(4000)))
		tables.Apply(state.StoredRecord{Offset: 4100})
		time.Sleep(servedFor - time.Second)
		g.Expect(ask(rpc.SnapshotParams{AtLeast: 4000})).To(Equal(state.Offset(4000)))
		time.Sleep(servedFor - time.Second)
		g.Expect(ask(rpc.SnapshotParams{Part: 1, Sum: sum})).To(Equal(state.Offset(4000)))
		time.Sleep(servedFor + time.Second)
		g.Expect(ask(rpc.SnapshotParams{Part: 1, Sum: sum})).To(Equal(state.NoOffset), "forgotten")
		g.Expect(ask(rpc.SnapshotParams{})).To(Equal(state.Offset(4100)))
		tables.Apply(state.StoredRecord{Offset: 4200})
		g.Expect(ask(rpc.SnapshotParams{AtLeast: 4101})).To(Equal(state.Offset(4200)))
		g.Expect(ask(rpc.SnapshotParams{Part: 3})).To(Equal(state.NoOffset))
		g.Expect(ask(rpc.SnapshotParams{Part: -1})).To(Equal(state.NoOffset))
	})
}

func first(data []byte, _ state.Offset) []byte { return data }

// snapshotNow returns the tables of the configuration.
func (c *control) snapshotNow() chan *servedSnapshot {
	reply := make(chan *servedSnapshot, 1)
	c.post(context.Background(), snapshotAsked{stream: platform.StreamConfig, reply: reply})
	return reply
}

func failAt(p rpc.SnapshotParams, part int) error {
	if p.Part == part {
		return verdict.Refuse(verdict.ReasonNotFound, "gone")
	}
	return nil
}

// garbage replaces a snapshot by one that is whole but no configuration.
func garbage(_ rpc.SnapshotParams, r *rpc.SnapshotResult) error {
	r.Data = []byte("[]")
	r.Size, r.Parts, r.Sum = len(r.Data), 1, snapshotSum(platform.StreamConfig, r.Covered, r.Data)
	return nil
}

// Guards against a new entry that never becomes ready after the log has lost
// records of which it holds no snapshot, and against one that takes the tables
// of another region's stream.
func TestNewEntryTakesTablesFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newTestRegion(t, standin.LogConfig{})
		peers := append(peersOf("r", 3), peersOf("s", 1)...)
		first, second := r.add("r", 0, peers, 24*time.Hour), r.add("r", 1, peers, 24*time.Hour)
		r.connect(first)
		r.connect(second)
		defer r.stopAll()
		time.Sleep(20 * time.Second)
		for i := range 10 {
			_, err := first.control.changeConfig(t.Context(), teamChange(fmt.Sprint("t", i)))
			g.Expect(err).NotTo(HaveOccurred())
			appendTo(g, r.log, platform.RegionStream("r"), state.KindAgentStart, state.AgentStart{Upstream: state.UpstreamName(fmt.Sprint("u", i)), Incarnation: "1"})
		}
		time.Sleep(time.Second)
		for _, stream := range []platform.Stream{platform.StreamConfig, platform.RegionStream("r")} {
			records := r.log.Records(stream)
			r.log.Truncate(stream, records[len(records)-1].Offset)
		}
		late, remote := r.add("r", 2, peers, 24*time.Hour), r.add("s", 0, peers, 24*time.Hour)
		r.connect(late)
		r.connect(remote)
		time.Sleep(3 * time.Second)
		for _, m := range []*member{late, remote} {
			g.Expect(m.control.view().unready()).To(BeNil(), m.cfg.Name)
			_, _, ok := m.control.view().config.Team("t0")
			g.Expect(ok).To(BeTrue(), m.cfg.Name)
		}
		_, ok := late.control.view().region.Agent("u0")
		g.Expect(ok).To(BeTrue())
		_, ok = remote.control.view().region.Agent("u0")
		g.Expect(ok).To(BeFalse(), "another region's agent")
		_, err := remote.snapshots.part(t.Context(), rpc.SnapshotParams{Stream: platform.RegionStream("r")})
		g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonNotFound), "a stream that it does not follow")
		_, err = remote.control.changeConfig(t.Context(), teamChange("after"))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		_, _, ok = late.control.view().config.Team("after")
		g.Expect(ok).To(BeTrue(), "goes on with the log")
	})
}
