package entry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// headerLoad carries an agent's load on each of its answers.
const headerLoad = "Lagoon-Load"

// upstreamLoad is what this entry knows of the load of an upstream: the last
// report and what the entry sent since.
type upstreamLoad struct {
	// reported is the queue length plus running requests of the last report.
	reported atomic.Int64
	// sent counts the requests sent since the report that have not ended.
	sent atomic.Int64
}

// report reads the load header of an answer. Agents answer in their own time,
// so a report may be older than the last send; those sends stay counted until
// their own answers arrive.
func (l *upstreamLoad) report(h http.Header) {
	text := h.Get(headerLoad)
	if text == "" {
		return
	}
	var queue, running int64
	if _, err := fmt.Sscanf(text, "queue=%d running=%d", &queue, &running); err != nil {
		return
	}
	l.reported.Store(queue + running)
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
