package claims

import (
	"time"
	"unique"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// keyID names a request of a caller. It holds no pointer, so that the garbage
// collector need not scan the outcomes.
type keyID struct {
	caller uint32
	key    uuid.UUID
}

// claim is an effective claim that is open.
type claim struct {
	id     string
	key    keyID
	body   state.Claim
	writer state.ProcessID
}

// ran is what is kept of a claim that is done.
type ran struct {
	fingerprint uint64
	// at is the offset of the outcome.
	at     state.Offset
	status int32
	// kept says that the outcome holds the answer.
	kept bool
}

// table holds the effective claims of a shard.
type table struct {
	// callers numbers the callers. Their count is bounded by configuration.
	callers map[state.CallerName]uint32
	byKey   map[keyID]*claim
	byID    map[string]*claim
	ran     map[keyID]ran
	answers answers[keyID]
}

func newTable(callers map[state.CallerName]uint32, answerBytes state.Bytes) table {
	return table{
		callers: callers,
		byKey:   map[keyID]*claim{}, byID: map[string]*claim{}, ran: map[keyID]ran{},
		answers: newAnswers[keyID](answerBytes),
	}
}

func (t *table) keyOf(caller state.CallerName, key uuid.UUID) keyID {
	number, ok := t.callers[caller]
	if !ok {
		number = uint32(len(t.callers))
		t.callers[caller] = number
	}
	return keyID{number, key}
}

// claimed reports whether the key has a live claim.
func (t *table) claimed(key keyID) bool {
	_, open := t.byKey[key]
	_, done := t.ran[key]
	return open || done
}

func (t *table) claims() int { return len(t.byKey) + len(t.ran) }

// newClaim shares the strings that many claims have in common.
func newClaim(p state.Positioned, key keyID, body state.Claim) *claim {
	share := func(s string) string { return unique.Make(s).Value() }
	process := func(id state.ProcessID) state.ProcessID {
		return state.ProcessID{Name: share(id.Name), Incarnation: share(id.Incarnation)}
	}
	body.Caller, body.Key = "", "" // They are in key.
	body.Upstream = state.UpstreamName(share(string(body.Upstream)))
	body.AgentIncarnation = share(body.AgentIncarnation)
	body.Entry = process(body.Entry)
	return &claim{id: p.ID, key: key, body: body, writer: process(p.Writer)}
}

// close replaces an open claim by its outcome.
func (t *table) close(c *claim, at state.Offset, done state.ClaimDone) {
	delete(t.byKey, c.key)
	delete(t.byID, c.id)
	t.ran[c.key] = ran{fingerprint: c.body.Fingerprint, at: at, status: int32(done.Status), kept: done.AnswerKept}
	if done.AnswerKept {
		t.answers.add(c.key, done)
	}
}

// outcome returns the outcome of a claim. If its answer is no longer in memory,
// the offset to read it from is returned as well.
func (t *table) outcome(key keyID, r ran) (*state.ClaimDone, state.Offset) {
	if done, ok := t.answers.byKey[key]; ok {
		return &done, state.NoOffset
	}
	done := &state.ClaimDone{Status: int(r.status)}
	if !r.kept {
		return done, state.NoOffset
	}
	return done, r.at
}

// forget drops the claims of keys that are too old.
func (t *table) forget(tooOld func(keyID) bool) {
	for key, c := range t.byKey {
		if tooOld(key) {
			delete(t.byKey, key)
			delete(t.byID, c.id)
		}
	}
	// The map is built anew, since one that loses as many keys as it gets still
	// grows for a while.
	kept := make(map[keyID]ran, len(t.ran))
	for key, r := range t.ran {
		if tooOld(key) {
			t.answers.drop(key)
			continue
		}
		kept[key] = r
	}
	t.ran = kept
	t.answers.trim()
}

func (t *table) keyTimes() []time.Time {
	times := make([]time.Time, 0, t.claims())
	for key := range t.byKey {
		times = append(times, keyTime(key.key))
	}
	for key := range t.ran {
		times = append(times, keyTime(key.key))
	}
	return times
}

// answerOverhead is about what a kept answer costs besides its bytes.
const answerOverhead = 256

// answers holds the answers kept last.
type answers[K comparable] struct {
	byKey map[K]state.ClaimDone
	// order lists the keys, oldest first. It may name keys that are gone.
	order []K
	bytes state.Bytes
	limit state.Bytes
}

func newAnswers[K comparable](limit state.Bytes) answers[K] {
	return answers[K]{byKey: map[K]state.ClaimDone{}, limit: limit}
}

func sizeOf(done state.ClaimDone) state.Bytes {
	return state.Bytes(cap(done.Answer) + len(done.ContentType) + answerOverhead)
}

func (a *answers[K]) add(key K, done state.ClaimDone) {
	a.byKey[key] = done
	a.order = append(a.order, key)
	a.bytes += sizeOf(done)
	for a.bytes > a.limit && len(a.order) > 0 {
		a.drop(a.order[0])
		a.order = a.order[1:]
	}
}

// trim removes the oldest places of keys that are gone.
func (a *answers[K]) trim() {
	for len(a.order) > 0 {
		if _, ok := a.byKey[a.order[0]]; ok {
			return
		}
		a.order = a.order[1:]
	}
}

func (a *answers[K]) drop(key K) {
	if done, ok := a.byKey[key]; ok {
		a.bytes -= sizeOf(done)
		delete(a.byKey, key)
	}
}
