package entry

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// headerLoad carries an agent's load on each of its answers.
const headerLoad = "Lagoon-Load"

// upstreamLoad is what this entry knows of the load of an upstream: the last
// report and what the entry sent since.
type upstreamLoad struct {
	mu sync.Mutex
	// reported is the queue length plus running requests of the last report,
	// less what this entry has seen end since.
	reported int
	// reports counts the reports; at is when the last one came.
	reports uint64
	at      time.Time
	// sent counts the requests sent since the report that have not ended.
	sent int
}

// begin counts a request that is sent now. The mark goes to end.
func (l *upstreamLoad) begin() (mark uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return l.reports
}

// end takes a request off the books. One that was sent before the last report
// is part of the report.
func (l *upstreamLoad) end(mark uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mark == l.reports {
		l.sent--
		return
	}
	l.reported = max(l.reported-1, 0)
}

// report reads the load header of an answer. It counts all that was sent
// before: a request that the report misses was sent within the time that the
// answer took to arrive.
func (l *upstreamLoad) report(now time.Time, h http.Header) {
	text := h.Get(headerLoad)
	if text == "" {
		return
	}
	var queue, running int
	if _, err := fmt.Sscanf(text, "queue=%d running=%d", &queue, &running); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported, l.at, l.sent = queue+running, now, 0
	l.reports++
}

// now returns what probably remains of the last report, and what was sent
// since.
func (l *upstreamLoad) now(now time.Time, slots int, service time.Duration) (queue, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return routing.AgedQueue(l.reported, slots, now.Sub(l.at), service), l.sent
}

// loadTable holds the loads of all upstreams that the entry has used.
type loadTable struct {
	byName sync.Map // state.UpstreamName to *upstreamLoad
}

func (t *loadTable) of(name state.UpstreamName) *upstreamLoad {
	if known, ok := t.byName.Load(name); ok {
		return known.(*upstreamLoad)
	}
	known, _ := t.byName.LoadOrStore(name, &upstreamLoad{})
	return known.(*upstreamLoad)
}

// forgetExcept drops the upstreams that keep does not name.
func (t *loadTable) forgetExcept(keep func(state.UpstreamName) bool) {
	t.byName.Range(func(name, _ any) bool {
		if !keep(name.(state.UpstreamName)) {
			t.byName.Delete(name)
		}
		return true
	})
}
