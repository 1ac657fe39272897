package membership

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// forgetAfter is how long a silent entry stays in the table, so that late
// messages of its ended runs are still recognised.
const forgetAfter = time.Hour

// maxEndedRuns bounds the ended runs remembered per process.
const maxEndedRuns = 8

// runs tells the current run of a process from ended ones. Incarnations have
// no order, so ended ones are remembered.
type runs struct {
	current string
	ended   []string
}

// advance notes a message of a run. stale means that the run has ended;
// restarted means that a new run has replaced a known one.
func (r *runs) advance(incarnation string) (stale, restarted bool) {
	switch {
	case incarnation == r.current:
		return false, false
	case slices.Contains(r.ended, incarnation):
		return true, false
	case r.current == "":
		r.current = incarnation
		return false, false
	}
	r.ended = append(r.ended, r.current)
	if len(r.ended) > maxEndedRuns {
		r.ended = r.ended[1:]
	}
	r.current = incarnation
	return false, true
}

type peer struct {
	runs runs
	last rpc.PingParams
	// heard is the last message, answered the last answer to an own ping.
	heard    time.Time
	answered time.Time
}

// Entries tells which other entries are alive.
type Entries struct {
	self     state.EntryName
	settings Settings
	peers    map[state.EntryName]*peer
}

// NewEntries returns the table of entry self.
func NewEntries(self state.EntryName, settings Settings) *Entries {
	return &Entries{self: self, settings: settings, peers: map[state.EntryName]*peer{}}
}

// Pinged notes a ping from another entry. It makes the sender known, but only
// an answer to an own ping shows that both directions work: after a one-way
// cut both sides then come to the same judgement.
func (e *Entries) Pinged(from rpc.PingParams, now time.Time) { e.note(from, now) }

// Answered notes an answer to an own ping.
func (e *Entries) Answered(by rpc.PingResult, now time.Time) {
	if p := e.note(by, now); p != nil {
		p.answered = now
	}
}

func (e *Entries) note(word rpc.PingParams, now time.Time) *peer {
	if word.From == e.self {
		return nil
	}
	p, ok := e.peers[word.From]
	if !ok {
		p = &peer{}
		e.peers[word.From] = p
	}
	stale, restarted := p.runs.advance(word.Incarnation)
	if stale {
		return nil
	}
	if restarted {
		p.answered = time.Time{}
		p.last = rpc.PingParams{}
	}
	// Messages may arrive out of order, but a run that leaves stays leaving.
	word.Leaving = word.Leaving || p.last.Leaving
	word.Config = max(word.Config, p.last.Config)
	word.Region = max(word.Region, p.last.Region)
	p.last = word
	p.heard = now
	return p
}

// Health returns the state of an entry.
func (e *Entries) Health(name state.EntryName, now time.Time) Health {
	if name == e.self {
		return Live
	}
	p, ok := e.peers[name]
	if !ok {
		return Unknown
	}
	return e.judge(p, now)
}

func (e *Entries) judge(p *peer, now time.Time) Health {
	silent := now.Sub(p.answered)
	switch {
	case p.answered.IsZero() && now.Sub(p.heard) < e.settings.EntryDeadAfter:
		return Unknown
	case silent >= e.settings.EntryDeadAfter:
		return Dead
	case p.last.Leaving:
		return Leaving
	case silent >= e.settings.EntrySuspectAfter:
		return Suspect
	}
	return Live
}

// Live returns the entries that may have roles, self included, by name.
// Suspects keep their roles, so that one lost answer moves nothing.
func (e *Entries) Live(now time.Time) []state.EntryName {
	live := []state.EntryName{e.self}
	for name, p := range e.peers {
		switch e.judge(p, now) {
		case Live, Suspect:
			live = append(live, name)
		case Dead:
			if now.Sub(p.heard) > forgetAfter {
				delete(e.peers, name)
			}
		}
	}
	slices.Sort(live)
	return live
}

// Peer returns the last word of an entry.
func (e *Entries) Peer(name state.EntryName) (rpc.PingParams, bool) {
	p, ok := e.peers[name]
	if !ok {
		return rpc.PingParams{}, false
	}
	return p.last, true
}
