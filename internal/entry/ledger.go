package entry

import (
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// ledgerSize bounds the ended requests that an entry remembers one by one.
// The exact counts per caller have no such bound.
const ledgerSize = 8192

// ended is a request that has ended, as operators may ask about it.
type ended struct {
	id          string
	at          time.Time
	caller      state.CallerName
	target      string
	adapter     state.AdapterName
	class       state.Class
	verdict     verdict.Verdict
	outcome     audit.Outcome
	attempts    int
	upstream    state.UpstreamName
	fingerprint uint64
	firstToken  time.Duration
	total       time.Duration
}

// ledger remembers the last ended requests and counts all of them by caller.
type ledger struct {
	counts *audit.Counts

	mu   sync.Mutex
	ring []ended
	next int
}

func newLedger(now time.Time) *ledger {
	return &ledger{counts: audit.NewCounts(now, countWindows)}
}

const (
	// countWindow is the length of a window of the counts per caller.
	countWindow = 10 * time.Second
	// countWindows is how many windows are kept for queries: one day.
	countWindows = int(24 * time.Hour / countWindow)
)

func (l *ledger) add(e ended) {
	l.counts.Add(e.caller, e.outcome, e.verdict.Reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < ledgerSize {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % ledgerSize
}

// each calls f with the remembered requests.
func (l *ledger) each(f func(ended)) {
	l.mu.Lock()
	all := append([]ended(nil), l.ring...)
	l.mu.Unlock()
	for _, e := range all {
		f(e)
	}
}

// find returns the request with an id.
func (l *ledger) find(id string) (ended, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ring {
		if e.id == id {
			return e, true
		}
	}
	return ended{}, false
}
