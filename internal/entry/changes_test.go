package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// appendFunc implements logclient.Appender.
type appendFunc func(records []state.Record) error

func (f appendFunc) Append(_ context.Context, _ platform.Stream, records ...state.Record) ([]state.Offset, error) {
	return nil, f(records)
}

// Guards against a change that is reported as unknown although its place in
// the log has been read, and against one that is reported as refused although
// nothing is known of it.
func TestChangeAfterLostAnswer(t *testing.T) {
	for name, read := range map[string]bool{"record read": true, "record not read": false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var c *control
			lost := appendFunc(func(records []state.Record) error {
				if read {
					page := platform.Page{Records: []state.StoredRecord{{Offset: 0, Record: records[0]}}, Next: 1, End: 1}
					c.post(t.Context(), pageRead{stream: platform.StreamConfig, page: page, done: make(chan state.Offset, 1)})
				}
				return platform.ErrUnknownOutcome
			})
			c = newControl(controlConfig{name: "e", region: "r"},
				controlDeps{appender: lost, logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
			c.configReady, c.regionReady, c.dirty = true, true, true
			c.publish()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = c.run(ctx) }()
			value, _ := json.Marshal(state.Team{Name: "t"})
			outcome, err := c.changeConfig(ctx, state.ConfigChange{Entity: state.EntityTeam, Name: "t", Value: value, Actor: "op"})
			if read {
				g.Expect(err).NotTo(HaveOccurred(), name)
				g.Expect(outcome.Effect).To(Equal(state.EffectApplied), name)
				return
			}
			g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonUnknownOutcome), name)
			g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun), name)
		})
	}
}

// Guards against a change that is reported as invalid although its record is
// covered by a snapshot, so that it may have taken effect.
func TestCoveredChangeIsOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var c *control
		covered := appendFunc(func(records []state.Record) error {
			other := state.NewConfig()
			other.Apply(state.StoredRecord{Offset: 7})
			data, at := other.Snapshot()
			snapshot := logclient.Snapshot{Covered: at, Data: data}
			c.post(t.Context(), snapshotRead{stream: platform.StreamConfig, snapshot: snapshot, done: make(chan state.Offset, 1)})
			page := platform.Page{Records: []state.StoredRecord{{Offset: 5, Record: records[0]}}, Next: 6, End: 8}
			c.post(t.Context(), pageRead{stream: platform.StreamConfig, page: page, done: make(chan state.Offset, 1)})
			return nil
		})
		c = newControl(controlConfig{name: "e", region: "r"},
			controlDeps{appender: covered, logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
		c.configReady, c.regionReady, c.dirty = true, true, true
		c.publish()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = c.run(ctx) }()
		_, err := c.changeConfig(ctx, teamChange("t"))
		g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonUnknownOutcome))
		g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
	})
}
