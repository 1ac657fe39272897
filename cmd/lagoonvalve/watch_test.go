//go:build linux

package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// memoryWatch looks at all engines again and again.
type memoryWatch struct {
	end     chan struct{}
	ended   chan struct{}
	samples int
	err     error
}

func (w *memoryWatch) stop() {
	select {
	case <-w.end:
	default:
		close(w.end)
	}
	<-w.ended
}

// cmdWatch starts to check that all engines together never hold more than
// LIMIT replicas of a model, in any state, and no engine more than its memory:
// watch MODEL LIMIT.
func cmdWatch(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	limit, err := strconv.Atoi(args[1])
	ts.Check(err)
	var engines []string
	for _, name := range f.order {
		if strings.HasPrefix(name, "engine-") {
			engines = append(engines, name)
		}
	}
	w := &memoryWatch{end: make(chan struct{}), ended: make(chan struct{})}
	f.mu.Lock()
	f.watches[args[0]] = w
	f.mu.Unlock()
	go func() {
		defer close(w.ended)
		ticker := time.NewTicker(pollEvery)
		defer ticker.Stop()
		for w.err == nil {
			select {
			case <-w.end:
				return
			case <-ticker.C:
				w.err = f.sample(engines, state.ModelName(args[0]), limit)
				w.samples++
			}
		}
	}()
}

func (f *fleet) sample(engines []string, model state.ModelName, limit int) error {
	replicas := 0
	for _, name := range engines {
		status, err := f.engine(name)
		if err != nil {
			continue
		}
		var used state.Bytes
		for _, replica := range status.Replicas {
			used += replica.Size
			if replica.Model == model {
				replicas++
			}
		}
		if used > status.Memory {
			return errors.Errorf("%s uses %s of %s", name, used, status.Memory)
		}
	}
	if replicas > limit {
		return errors.Errorf("%d replicas of %s, limit %d", replicas, model, limit)
	}
	return nil
}

// cmdWatched ends a watch and fails if it saw too much: watched MODEL. It also
// fails if an engine had to refuse an order for want of memory, since an agent
// with a right account sends none.
func cmdWatched(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	w := f.watches[args[0]]
	w.stop()
	ts.Check(w.err)
	if w.samples == 0 {
		ts.Fatalf("watch %s: no sample taken", args[0])
	}
	for _, name := range f.order {
		if !strings.HasPrefix(name, "engine-") {
			continue
		}
		counters, err := f.counters(name)
		ts.Check(err)
		if counters.MemoryRefusals > 0 {
			ts.Fatalf("%s refused %d orders for want of memory", name, counters.MemoryRefusals)
		}
	}
}
