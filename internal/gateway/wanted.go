package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

const (
	// rateWindow is the time constant of the rates of requests.
	rateWindow = 10 * time.Second
	// forgetRate is the rate below which a target is forgotten.
	forgetRate = 5e-3
	// refusedFor is how long a refused request counts as waiting: its caller is
	// likely to come back.
	refusedFor = 2 * time.Second
)

// wanted counts what callers want of models and adapters. Its methods may be
// called from any goroutine.
type wanted struct {
	mu      sync.Mutex
	targets map[fleet.Target]*targetCount
	// kick asks for a report at once.
	kick chan struct{}
}

// targetCount counts the requests for a target.
type targetCount struct {
	waiting, running int
	// rate is an exponentially weighted rate of requests per second.
	rate float64
	at   time.Time
	// refused is when a request was last refused because no upstream held the
	// target.
	refused time.Time
}

func (c *targetCount) decay(now time.Time) {
	c.rate *= math.Exp(-now.Sub(c.at).Seconds() / rateWindow.Seconds())
	c.at = now
}

func newWanted() *wanted {
	return &wanted{targets: make(map[fleet.Target]*targetCount), kick: make(chan struct{}, 1)}
}

func (w *wanted) update(t fleet.Target, change func(c *targetCount)) {
	if t.Model == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.targets[t]
	if !ok {
		c = &targetCount{at: time.Now()}
		w.targets[t] = c
	}
	change(c)
}

func (w *wanted) arrived(t fleet.Target) {
	w.update(t, func(c *targetCount) {
		c.decay(time.Now())
		c.rate += 1 / rateWindow.Seconds()
	})
}

func (w *wanted) run(t fleet.Target, n int) { w.update(t, func(c *targetCount) { c.running += n }) }

// wait counts a request that has to wait for its target, and has the controller
// told at once.
func (w *wanted) wait(t fleet.Target, n int) {
	w.update(t, func(c *targetCount) { c.waiting += n })
	if n > 0 {
		select {
		case w.kick <- struct{}{}:
		default:
		}
	}
}

// refuse counts a request that was refused because no upstream held its target.
func (w *wanted) refuse(t fleet.Target) { w.update(t, func(c *targetCount) { c.refused = time.Now() }) }

// report returns the demand of all targets and forgets those without any.
func (w *wanted) report(now time.Time) []rpc.TargetDemand {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]rpc.TargetDemand, 0, len(w.targets))
	for t, c := range w.targets {
		c.decay(now)
		if c.waiting == 0 && c.running == 0 && c.rate < forgetRate {
			delete(w.targets, t)
			continue
		}
		waiting := c.waiting
		if waiting == 0 && now.Sub(c.refused) < refusedFor {
			waiting = 1
		}
		list = append(list, rpc.TargetDemand{
			Model: t.Model, Adapter: t.Adapter, Waiting: waiting, Running: c.running, Rate: math.Round(c.rate*1e3) / 1e3,
		})
	}
	return list
}
