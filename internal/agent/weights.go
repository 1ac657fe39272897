package agent

import (
	"sync"
	"sync/atomic"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxWeights bounds the callers whose weight is remembered.
const maxWeights = 10_000

// weights holds the callers' shares for traffic. A caller seen for the first
// time has weight 1 until the control goroutine looks it up.
type weights struct {
	known sync.Map // state.CallerName to *atomic.Int64
	count atomic.Int64
	// unknown tells the control goroutine about a new caller.
	unknown func()
}

func (w *weights) of(caller state.CallerName) int {
	if found, ok := w.known.Load(caller); ok {
		return int(found.(*atomic.Int64).Load())
	}
	if w.count.Load() >= maxWeights {
		return 1
	}
	one := &atomic.Int64{}
	one.Store(1)
	if _, loaded := w.known.LoadOrStore(caller, one); !loaded {
		w.count.Add(1)
		w.unknown()
	}
	return 1
}

// refresh looks all weights up.
func (w *weights) refresh(tables Tables) {
	w.known.Range(func(name, value any) bool {
		weight := 1
		if caller, ok := tables.Caller(name.(state.CallerName)); ok && caller.Weight > 0 {
			weight = caller.Weight
		}
		value.(*atomic.Int64).Store(int64(weight))
		return true
	})
}
