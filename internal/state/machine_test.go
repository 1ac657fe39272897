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

func TestMain(m *testing.M) { testenv.Main(m, testenv.Properties{Seed: 11, Checks: 2000, Steps: 50}) }

var start = time.Unix(1_800_000_000, 0)

func at[B state.Body](offset state.Offset, kind state.Kind, body B) state.StoredRecord {
	r, err := state.NewRecord(fmt.Sprint(offset), state.ProcessID{Name: "w", Incarnation: "1"}, kind, body)
	if err != nil {
		panic(err)
	}
	return state.StoredRecord{Offset: offset, Time: start.Add(time.Duration(offset) * time.Second), Record: r}
}

func value(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// cell is a caller in the naive configuration; last is the highest revision
// that its name ever had.
type cell struct {
	weight         int
	revision, last state.Revision
}

// cells holds the callers a and b.
type cells [2]cell

// write is a change of caller a or b; weight -1 deletes. A read has no name.
type write struct {
	caller   int
	expected state.Revision
	weight   int
	read     bool
}

// written is what a client learns: the outcome of its change, or nothing, or
// the caller that it read.
type written struct {
	known    bool
	effect   state.Effect
	revision state.Revision
	read     cell
}

// step is the sequential meaning of a change.
func (c cells) step(w write) (cells, written) {
	now := &c[w.caller]
	out := written{known: true, effect: state.EffectConflict}
	switch {
	case now.revision != w.expected:
	case w.weight < 0 && now.revision == 0, w.weight == 0, w.weight > 1000:
		out.effect = state.EffectInvalid
	case w.weight < 0:
		out.effect = state.EffectApplied
		*now = cell{last: now.last}
	default:
		out.effect, out.revision = state.EffectApplied, now.last+1
		*now = cell{w.weight, now.last + 1, now.last + 1}
	}
	return c, out
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{cells{}} },
	Step: func(s, input, output any) []any {
		now, in, out := s.(cells), input.(write), output.(written)
		if in.read {
			if visible(now[in.caller]) == out.read {
				return []any{now}
			}
			return nil
		}
		next, want := now.step(in)
		switch {
		case !out.known: // The append may never take effect.
			return []any{now, next}
		case out == want:
			return []any{next}
		}
		return nil
	},
}

// visible is what a reader sees of a cell.
func visible(c cell) cell { return cell{weight: c.weight, revision: c.revision} }

var callerNames = []state.CallerName{"a", "b"}

func readCell(v *state.ConfigView, caller int) cell {
	c, revision, _ := v.Caller(callerNames[caller])
	return cell{weight: c.Weight, revision: revision}
}

func (w write) change() state.ConfigChange {
	ch := state.ConfigChange{Entity: state.EntityCaller, Name: string(callerNames[w.caller]), Expected: w.expected, Actor: "x"}
	if w.weight >= 0 {
		ch.Value = value(state.Caller{Name: callerNames[w.caller], Team: "t", Weight: w.weight})
	}
	return ch
}

// reader is a process that follows the config stream.
type reader struct {
	config *state.Config
	view   *state.ConfigView
}

// pending is a change that its client has not had an answer to.
type pending struct {
	write  write
	called int64
	offset int
}

type snapshot struct {
	data    []byte
	covered state.Offset
}

// configWorld is a config stream with writers, readers and snapshots.
type configWorld struct {
	log      []state.StoredRecord
	prefixes []cells
	effects  []written
	readers  []*reader
	pending  []*pending
	saved    []snapshot
	clock    int64
	history  []porcupine.Operation
}

func newConfigWorld() *configWorld {
	return &configWorld{
		log: []state.StoredRecord{at(0, state.KindConfigChange, state.ConfigChange{
			Entity: state.EntityTeam, Name: "t", Value: value(state.Team{Name: "t"}),
		})},
		prefixes: []cells{{}}, effects: []written{{}},
		readers: []*reader{{config: state.NewConfig()}, {config: state.NewConfig()}},
	}
}

func (w *configWorld) begin(t *rapid.T) {
	if len(w.pending) >= 4 { // More unknown outcomes make the search too long.
		t.Skip()
	}
	p := &pending{offset: -1, write: write{
		caller: rapid.IntRange(0, 1).Draw(t, "caller"), weight: rapid.IntRange(-1, 5).Draw(t, "weight"),
	}}
	p.write.expected = w.prefixes[len(w.prefixes)-1][p.write.caller].revision
	if rapid.IntRange(0, 3).Draw(t, "informed") == 3 {
		p.write.expected = state.Revision(rapid.IntRange(0, 4).Draw(t, "expected"))
	}
	w.clock++
	p.called = w.clock
	w.pending = append(w.pending, p)
}

// land stores a change, perhaps long after its client sent it.
func (w *configWorld) land(t *rapid.T) {
	if len(w.pending) == 0 {
		t.Skip()
	}
	p := rapid.SampledFrom(w.pending).Draw(t, "landing")
	if p.offset >= 0 {
		t.Skip()
	}
	p.offset = len(w.log)
	next, out := w.prefixes[len(w.prefixes)-1].step(p.write)
	w.prefixes, w.effects = append(w.prefixes, next), append(w.effects, out)
	w.log = append(w.log, at(state.Offset(p.offset), state.KindConfigChange, p.write.change()))
}

// follow lets a reader apply records; outcomes must be those of the naive
// reading.
func (w *configWorld) follow(t *rapid.T, r *reader, from, to int) {
	for _, p := range w.log[from:to] {
		before := r.config.Offset()
		out := r.config.Apply(p)
		want := w.effects[p.Offset]
		if p.Offset > max(before, 0) && (out.Effect != want.effect || out.Revision != want.revision) {
			t.Fatalf("record %d: %+v, want %+v", p.Offset, out, want)
		}
	}
	r.view = r.config.View()
}

// reply lets a client read its change back and learn the outcome.
func (w *configWorld) reply(t *rapid.T) {
	i := slices.IndexFunc(w.pending, func(p *pending) bool { return p.offset >= 0 })
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
	w.history = append(w.history, porcupine.Operation{Input: p.write, Call: p.called, Return: w.clock, Output: written{known: true, effect: out.Effect, revision: out.Revision}})
}

func (w *configWorld) freshRead(t *rapid.T) {
	r, caller := rapid.SampledFrom(w.readers).Draw(t, "reader"), rapid.IntRange(0, 1).Draw(t, "caller")
	w.follow(t, r, int(r.config.Offset())+1, len(w.log))
	w.clock++
	w.history = append(w.history, porcupine.Operation{
		Input: write{caller: caller, read: true}, Output: written{read: readCell(r.view, caller)}, Call: w.clock, Return: w.clock,
	})
}

func (w *configWorld) restore(t *rapid.T) {
	if len(w.saved) == 0 {
		t.Skip()
	}
	from, r := rapid.SampledFrom(w.saved).Draw(t, "snapshot"), rapid.SampledFrom(w.readers).Draw(t, "reader")
	err := r.config.Restore(from.data, from.covered)
	if (err != nil) != (from.covered < r.view.Offset()) {
		t.Fatalf("restore of offset %d over %d: %v", from.covered, r.view.Offset(), err)
	}
	r.view = r.config.View()
}

func (w *configWorld) check(t *rapid.T) {
	for _, r := range w.readers {
		if r.view == nil {
			r.view = r.config.View()
		}
		if r.config.Offset() < r.view.Offset() {
			t.Fatalf("I9: a reader went back from %d to %d", r.view.Offset(), r.config.Offset())
		}
		for caller := range callerNames {
			want := visible(w.prefixes[max(0, r.view.Offset())][caller])
			if got := readCell(r.view, caller); got != want {
				t.Fatalf("I9: caller %d at %d is %+v, the log says %+v", caller, r.view.Offset(), got, want)
			}
		}
	}
}

// Guards I9: whatever is written late, read late or twice, restored or
// restarted, every reader's view at an offset is that of the log's prefix, no
// reader goes back, and the changes with their answers are linearizable.
func TestConfigUnderFaults(t *testing.T) {
	effects := map[state.Effect]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newConfigWorld()
		pick := func(t *rapid.T) *reader { return rapid.SampledFrom(w.readers).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "begin": w.begin, "begin more": w.begin, "land": w.land, "land more": w.land,
			"reply": w.reply, "fresh read": w.freshRead, "restore": w.restore,
			"partial read": func(t *rapid.T) {
				r := pick(t)
				next := int(r.config.Offset()) + 1
				w.follow(t, r, next, rapid.IntRange(next, len(w.log)).Draw(t, "to"))
			},
			"repeated read": func(t *rapid.T) {
				r := pick(t)
				end := int(r.config.Offset()) + 1
				w.follow(t, r, rapid.IntRange(0, end).Draw(t, "from"), end)
			},
			"snapshot": func(t *rapid.T) {
				data, covered := pick(t).config.Snapshot()
				w.saved = append(w.saved, snapshot{data, covered})
			},
			"restart": func(t *rapid.T) {
				r := pick(t)
				r.config, r.view = state.NewConfig(), nil
			},
		})
		for _, p := range w.pending {
			w.history = append(w.history, porcupine.Operation{Input: p.write, Output: written{}, Call: p.called, Return: 1 << 40})
		}
		if !porcupine.CheckOperations(registerModel.ToModel(), w.history) {
			t.Fatalf("configuration changes are not linearizable: %+v", w.history)
		}
		for _, e := range w.effects {
			effects[e.effect]++
		}
	})
	if effects[state.EffectApplied] < 1000 || effects[state.EffectConflict] < 1000 {
		t.Fatalf("the schedules reach too little: %v", effects)
	}
	t.Log(effects)
}
