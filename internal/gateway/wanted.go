package gateway

import (
	"sync"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// wanted counts what callers want of models and adapters. Its methods may be
// called from any goroutine.
type wanted struct {
	mu      sync.Mutex
	targets map[fleet.Target]*rpc.TargetDemand
	// kick asks for a report at once.
	kick chan struct{}
}

func newWanted() *wanted {
	return &wanted{targets: make(map[fleet.Target]*rpc.TargetDemand), kick: make(chan struct{}, 1)}
}

func (w *wanted) update(t fleet.Target, change func(d *rpc.TargetDemand)) {
	if t.Model == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	d, ok := w.targets[t]
	if !ok {
		d = &rpc.TargetDemand{Model: t.Model, Adapter: t.Adapter}
		w.targets[t] = d
	}
	change(d)
}

func (w *wanted) arrived(t fleet.Target) { w.update(t, func(d *rpc.TargetDemand) { d.Arrived++ }) }

func (w *wanted) run(t fleet.Target, n int) {
	w.update(t, func(d *rpc.TargetDemand) { d.Running += n })
}

// wait counts a request that has to wait for its target, and has the controller
// told at once.
func (w *wanted) wait(t fleet.Target, n int) {
	w.update(t, func(d *rpc.TargetDemand) { d.Waiting += n })
	if n > 0 {
		select {
		case w.kick <- struct{}{}:
		default:
		}
	}
}

// take returns the demand and begins to count arrivals anew.
func (w *wanted) take() []rpc.TargetDemand {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]rpc.TargetDemand, 0, len(w.targets))
	for t, d := range w.targets {
		if d.Waiting == 0 && d.Running == 0 && d.Arrived == 0 {
			delete(w.targets, t)
			continue
		}
		list = append(list, *d)
		d.Arrived = 0
	}
	return list
}

// giveBack adds the arrivals of a report that was not delivered.
func (w *wanted) giveBack(list []rpc.TargetDemand) {
	for _, lost := range list {
		if lost.Arrived > 0 {
			w.update(fleet.Target{Model: lost.Model, Adapter: lost.Adapter}, func(d *rpc.TargetDemand) { d.Arrived += lost.Arrived })
		}
	}
}
