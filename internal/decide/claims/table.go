package claims

import (
	"time"
	"unique"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// requestKey identifies a request by its caller and idempotency key. It holds no
// pointers, so that the garbage collector need not scan the map of completed
// claims.
type requestKey struct {
	// caller is the caller's number in table.callerNumbers.
	caller uint32
	key    uuid.UUID
}

// openClaim is a claim that took effect and has no outcome yet.
type openClaim struct {
	// id is the id of the claim's record.
	id   string
	key  requestKey
	body state.Claim
	// writer is the owner process that wrote the record.
	writer state.ProcessID
}

// completedClaim is what the table keeps of a claim whose work ran.
type completedClaim struct {
	fingerprint uint64
	// outcomeOffset is the offset of the outcome record.
	outcomeOffset state.Offset
	status        int32
	// answerKept is set if the outcome record holds the answer.
	answerKept bool
}

// table holds the claims of a shard that took effect.
type table struct {
	// callerNumbers assigns each caller a number. The configuration bounds the
	// number of callers.
	callerNumbers map[state.CallerName]uint32
	// byKey and byID hold the open claims.
	byKey     map[requestKey]*openClaim
	byID      map[string]*openClaim
	completed map[requestKey]completedClaim
	answers   answerCache[requestKey]
}

func newTable(callers map[state.CallerName]uint32, answerBytes state.Bytes) table {
	return table{
		callerNumbers: callers,
		byKey:         map[requestKey]*openClaim{}, byID: map[string]*openClaim{}, completed: map[requestKey]completedClaim{},
		answers: newAnswerCache[requestKey](answerBytes),
	}
}

func (t *table) keyOf(caller state.CallerName, key uuid.UUID) requestKey {
	number, ok := t.callerNumbers[caller]
	if !ok {
		number = uint32(len(t.callerNumbers))
		t.callerNumbers[caller] = number
	}
	return requestKey{number, key}
}

// claimed reports whether the key has a claim in effect, open or completed.
func (t *table) claimed(key requestKey) bool {
	_, open := t.byKey[key]
	_, done := t.completed[key]
	return open || done
}

func (t *table) claimCount() int { return len(t.byKey) + len(t.completed) }

// newOpenClaim returns the claim of a record. It interns the strings that many
// claims have in common, to save memory.
func newOpenClaim(p state.StoredRecord, key requestKey, body state.Claim) *openClaim {
	share := func(s string) string { return unique.Make(s).Value() }
	process := func(id state.ProcessID) state.ProcessID {
		return state.ProcessID{Name: share(id.Name), Incarnation: share(id.Incarnation)}
	}
	body.Caller, body.Key = "", "" // Both are in key.
	body.Upstream = state.UpstreamName(share(string(body.Upstream)))
	body.AgentIncarnation = share(body.AgentIncarnation)
	body.Entry = process(body.Entry)
	return &openClaim{id: p.ID, key: key, body: body, writer: process(p.Writer)}
}

// complete replaces an open claim by its outcome, the record at offset at.
func (t *table) complete(c *openClaim, at state.Offset, done state.ClaimDone) {
	delete(t.byKey, c.key)
	delete(t.byID, c.id)
	t.completed[c.key] = completedClaim{fingerprint: c.body.Fingerprint, outcomeOffset: at, status: int32(done.Status), answerKept: done.AnswerKept}
	if done.AnswerKept {
		t.answers.add(c.key, done)
	}
}

// outcome returns the outcome of a completed claim. If the answer is kept but no
// longer in memory, it also returns the offset to read the answer from, otherwise
// NoOffset.
func (t *table) outcome(key requestKey, r completedClaim) (*state.ClaimDone, state.Offset) {
	if done, ok := t.answers.byKey[key]; ok {
		return &done, state.NoOffset
	}
	done := &state.ClaimDone{Status: int(r.status)}
	if !r.answerKept {
		return done, state.NoOffset
	}
	return done, r.outcomeOffset
}

// forget removes the claims whose keys are too old.
func (t *table) forget(tooOld func(requestKey) bool) {
	for key, c := range t.byKey {
		if tooOld(key) {
			delete(t.byKey, key)
			delete(t.byID, c.id)
		}
	}
	// The map is rebuilt, since one that loses as many keys as it gains still
	// grows for a while.
	kept := make(map[requestKey]completedClaim, len(t.completed))
	for key, r := range t.completed {
		if tooOld(key) {
			t.answers.drop(key)
			continue
		}
		kept[key] = r
	}
	t.completed = kept
	t.answers.trim()
}

// keyTimes returns the times in the keys of all claims.
func (t *table) keyTimes() []time.Time {
	times := make([]time.Time, 0, t.claimCount())
	for key := range t.byKey {
		times = append(times, keyTime(key.key))
	}
	for key := range t.completed {
		times = append(times, keyTime(key.key))
	}
	return times
}

// answerOverhead approximates the memory that a kept answer takes besides its
// bytes.
const answerOverhead = 256

// answerCache holds the newest kept answers, up to limit bytes.
type answerCache[K comparable] struct {
	byKey map[K]state.ClaimDone
	// order lists the keys, oldest first. It may hold keys that have been
	// dropped.
	order []K
	// bytes is the total size of the answers.
	bytes state.Bytes
	limit state.Bytes
}

func newAnswerCache[K comparable](limit state.Bytes) answerCache[K] {
	return answerCache[K]{byKey: map[K]state.ClaimDone{}, limit: limit}
}

func sizeOf(done state.ClaimDone) state.Bytes {
	return state.Bytes(cap(done.Answer) + len(done.ContentType) + answerOverhead)
}

func (a *answerCache[K]) add(key K, done state.ClaimDone) {
	a.byKey[key] = done
	a.order = append(a.order, key)
	a.bytes += sizeOf(done)
	for a.bytes > a.limit && len(a.order) > 0 {
		a.drop(a.order[0])
		a.order = a.order[1:]
	}
}

// trim removes dropped keys from the front of order.
func (a *answerCache[K]) trim() {
	for len(a.order) > 0 {
		if _, ok := a.byKey[a.order[0]]; ok {
			return
		}
		a.order = a.order[1:]
	}
}

func (a *answerCache[K]) drop(key K) {
	if done, ok := a.byKey[key]; ok {
		a.bytes -= sizeOf(done)
		delete(a.byKey, key)
	}
}
