package state_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

func TestMain(m *testing.M) {
	testenv.Main(m, testenv.RapidDefaults{Seed: 11, Checks: 2000, Steps: 50})
}

var start = time.Unix(1_800_000_000, 0)

func recordAt[B state.Body](offset state.Offset, kind state.Kind, body B) state.StoredRecord {
	r, err := state.NewRecord(fmt.Sprint(offset), state.ProcessID{Name: "w", Incarnation: "1"}, kind, body)
	if err != nil {
		panic(err)
	}
	return state.StoredRecord{Offset: offset, Time: start.Add(time.Duration(offset) * time.Second), Record: r}
}

func mustEncode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// callerState is a caller in the reference configuration; last is the highest
// revision that its name ever had.
type callerState struct {
	weight         int
	revision, last state.Revision
}

// callerStates holds the callers a and b.
type callerStates [2]callerState

// operation is a read or a change of caller a or b; a weight of -1 deletes the
// caller.
type operation struct {
	caller   int
	expected state.Revision
	weight   int
	read     bool
}

// result is the outcome of an operation: the effect of a change and its revision,
// or the caller that was read. known is false for a change of unknown outcome.
type result struct {
	known    bool
	effect   state.Effect
	revision state.Revision
	read     callerState
}

// step applies a change and returns the new states and the result.
func (c callerStates) step(w operation) (callerStates, result) {
	now := &c[w.caller]
	out := result{known: true, effect: state.EffectConflict}
	switch {
	case now.revision != w.expected:
	case w.weight < 0 && now.revision == 0, w.weight == 0, w.weight > 1000:
		out.effect = state.EffectInvalid
	case w.weight < 0:
		out.effect = state.EffectApplied
		*now = callerState{last: now.last}
	default:
		out.effect, out.revision = state.EffectApplied, now.last+1
		*now = callerState{w.weight, now.last + 1, now.last + 1}
	}
	return c, out
}

var callerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{callerStates{}} },
	Step: func(s, input, output any) []any {
		now, in, out := s.(callerStates), input.(operation), output.(result)
		if in.read {
			if readable(now[in.caller]) == out.read {
				return []any{now}
			}
			return nil
		}
		next, want := now.step(in)
		switch {
		case !out.known: // The append may have failed.
			return []any{now, next}
		case out == want:
			return []any{next}
		}
		return nil
	},
}

// readable returns the part of c that a reader sees.
func readable(c callerState) callerState { return callerState{weight: c.weight, revision: c.revision} }

var callerNames = []state.CallerName{"a", "b"}

func readCaller(v *state.ConfigView, caller int) callerState {
	c, revision, _ := v.Caller(callerNames[caller])
	return callerState{weight: c.Weight, revision: revision}
}

func (w operation) change() state.ConfigChange {
	ch := state.ConfigChange{Entity: state.EntityCaller, Name: string(callerNames[w.caller]), Expected: w.expected, Actor: "x"}
	if w.weight >= 0 {
		ch.Value = mustEncode(state.Caller{Name: callerNames[w.caller], Team: "t", Weight: w.weight})
	}
	return ch
}

// reader is a process that follows the config stream.
type reader struct {
	config *state.Config
	view   *state.ConfigView
}

// pendingChange is a change whose outcome its client has not read yet. offset is
// -1 until the change is stored.
type pendingChange struct {
	op     operation
	called int64
	offset int
}

type snapshot struct {
	data    []byte
	covered state.Offset
}

// configHarness simulates a config stream with writers, readers and snapshots.
// statesAt and resultsAt hold the reference state and result at each offset.
type configHarness struct {
	log       []state.StoredRecord
	statesAt  []callerStates
	resultsAt []result
	readers   []*reader
	pending   []*pendingChange
	snapshots []snapshot
	clock     int64
	history   []porcupine.Operation
}

func newConfigHarness() *configHarness {
	return &configHarness{
		log: []state.StoredRecord{recordAt(0, state.KindConfigChange, state.ConfigChange{
			Entity: state.EntityTeam, Name: "t", Value: mustEncode(state.Team{Name: "t"}),
		})},
		statesAt: []callerStates{{}}, resultsAt: []result{{}},
		readers: []*reader{{config: state.NewConfig()}, {config: state.NewConfig()}},
	}
}

func (w *configHarness) sendChange(t *rapid.T) {
	if len(w.pending) >= 4 { // More unknown outcomes make the linearizability check too slow.
		t.Skip()
	}
	p := &pendingChange{offset: -1, op: operation{
		caller: rapid.IntRange(0, 1).Draw(t, "caller"), weight: rapid.IntRange(-1, 5).Draw(t, "weight"),
	}}
	p.op.expected = w.statesAt[len(w.statesAt)-1][p.op.caller].revision
	if rapid.IntRange(0, 3).Draw(t, "informed") == 3 {
		p.op.expected = state.Revision(rapid.IntRange(0, 4).Draw(t, "expected"))
	}
	w.clock++
	p.called = w.clock
	w.pending = append(w.pending, p)
}

// storeChange stores a change, perhaps long after its client sent it.
func (w *configHarness) storeChange(t *rapid.T) {
	if len(w.pending) == 0 {
		t.Skip()
	}
	p := rapid.SampledFrom(w.pending).Draw(t, "landing")
	if p.offset >= 0 {
		t.Skip()
	}
	p.offset = len(w.log)
	next, out := w.statesAt[len(w.statesAt)-1].step(p.op)
	w.statesAt, w.resultsAt = append(w.statesAt, next), append(w.resultsAt, out)
	w.log = append(w.log, recordAt(state.Offset(p.offset), state.KindConfigChange, p.op.change()))
}

// applyRecords lets a reader apply records and checks the outcomes against the
// reference.
func (w *configHarness) applyRecords(t *rapid.T, r *reader, from, to int) {
	for _, p := range w.log[from:to] {
		before := r.config.Offset()
		out := r.config.Apply(p)
		want := w.resultsAt[p.Offset]
		if p.Offset > max(before, 0) && (out.Effect != want.effect || out.Revision != want.revision) {
			t.Fatalf("record %d: %+v, want %+v", p.Offset, out, want)
		}
	}
	r.view = r.config.View()
}

// learnOutcome lets the client of a stored change read the log up to it and so
// determine the outcome.
func (w *configHarness) learnOutcome(t *rapid.T) {
	i := slices.IndexFunc(w.pending, func(p *pendingChange) bool { return p.offset >= 0 })
	if i < 0 {
		t.Skip()
	}
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	own := state.NewConfig()
	var out state.Outcome
	for _, record := range w.log[:p.offset+1] {
		out = own.Apply(record)
	}
	w.clock++
	w.history = append(w.history, porcupine.Operation{Input: p.op, Call: p.called, Return: w.clock, Output: result{known: true, effect: out.Effect, revision: out.Revision}})
}

func (w *configHarness) freshRead(t *rapid.T) {
	r, caller := rapid.SampledFrom(w.readers).Draw(t, "reader"), rapid.IntRange(0, 1).Draw(t, "caller")
	w.applyRecords(t, r, int(r.config.Offset())+1, len(w.log))
	w.clock++
	w.history = append(w.history, porcupine.Operation{
		Input: operation{caller: caller, read: true}, Output: result{read: readCaller(r.view, caller)}, Call: w.clock, Return: w.clock,
	})
}

func (w *configHarness) restore(t *rapid.T) {
	if len(w.snapshots) == 0 {
		t.Skip()
	}
	from, r := rapid.SampledFrom(w.snapshots).Draw(t, "snapshot"), rapid.SampledFrom(w.readers).Draw(t, "reader")
	err := r.config.Restore(from.data, from.covered)
	if (err != nil) != (from.covered < r.view.Offset()) {
		t.Fatalf("restore of offset %d over %d: %v", from.covered, r.view.Offset(), err)
	}
	r.view = r.config.View()
}

func (w *configHarness) check(t *rapid.T) {
	for _, r := range w.readers {
		if r.view == nil {
			r.view = r.config.View()
		}
		if r.config.Offset() < r.view.Offset() {
			t.Fatalf("invariant I9: a reader went back from offset %d to %d", r.view.Offset(), r.config.Offset())
		}
		for caller := range callerNames {
			want := readable(w.statesAt[max(0, r.view.Offset())][caller])
			if got := readCaller(r.view, caller); got != want {
				t.Fatalf("invariant I9: caller %d at offset %d is %+v, want %+v from the log", caller, r.view.Offset(), got, want)
			}
		}
	}
}

// Guards invariant I9: every reader's view at an offset is the result of the log
// up to it, and no reader goes back to an earlier offset. Changes are stored
// late, records are read late or twice, and readers restart or restore
// snapshots. The changes and their outcomes must be linearizable.
func TestConfigUnderFaults(t *testing.T) {
	effects := map[state.Effect]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newConfigHarness()
		pick := func(t *rapid.T) *reader { return rapid.SampledFrom(w.readers).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "begin": w.sendChange, "begin more": w.sendChange, "land": w.storeChange, "land more": w.storeChange,
			"reply": w.learnOutcome, "fresh read": w.freshRead, "restore": w.restore,
			"partial read": func(t *rapid.T) {
				r := pick(t)
				next := int(r.config.Offset()) + 1
				w.applyRecords(t, r, next, rapid.IntRange(next, len(w.log)).Draw(t, "to"))
			},
			"repeated read": func(t *rapid.T) {
				r := pick(t)
				end := int(r.config.Offset()) + 1
				w.applyRecords(t, r, rapid.IntRange(0, end).Draw(t, "from"), end)
			},
			"snapshot": func(t *rapid.T) {
				data, covered := pick(t).config.Snapshot()
				w.snapshots = append(w.snapshots, snapshot{data, covered})
			},
			"restart": func(t *rapid.T) {
				r := pick(t)
				r.config, r.view = state.NewConfig(), nil
			},
		})
		for _, p := range w.pending {
			w.history = append(w.history, porcupine.Operation{Input: p.op, Output: result{}, Call: p.called, Return: 1 << 40})
		}
		if !porcupine.CheckOperations(callerModel.ToModel(), w.history) {
			t.Fatalf("configuration changes are not linearizable: %+v", w.history)
		}
		for _, e := range w.resultsAt {
			effects[e.effect]++
		}
	})
	if effects[state.EffectApplied] < 1000 || effects[state.EffectConflict] < 1000 {
		t.Fatalf("too few cases covered: effects %v", effects)
	}
	t.Log(effects)
}
