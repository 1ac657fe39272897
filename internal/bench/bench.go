// Package bench runs the decision code in virtual time over small fake
// upstreams and compares it with a naive version under the same arrivals.
package bench

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Options selects what to run. Zero values mean all.
type Options struct {
	// Seed of the arrivals; default 1.
	Seed uint64
	// Sizes limits the run to deployments of these names: "ticketing",
	// "archive", "region".
	Sizes []string
	// Experiments limits the run to experiments of these names.
	Experiments []string
}

// version is a system under test.
type version interface {
	arrive(r *request)
}

// variant is a version and its change to the experiment.
type variant struct {
	naive bool
	alter func(e *experiment)
}

func simulate(seed uint64, s size, e experiment, v variant) *result {
	all := arrivals(seed, s, e)
	if v.alter != nil {
		v.alter(&e)
	}
	w := newWorld(seed, s, e)
	if !e.sessions {
		w.warm(e.preloaded)
	}
	var system version
	if v.naive {
		system = newNaive(w)
	} else {
		system = newOurs(w)
	}
	w.pending = len(all)
	for _, r := range all {
		if e.longShare == 0 && r.long {
			// Baselines without long work see the same short work.
			r.total = r.prefill
		}
		w.after(r.arrived.Sub(epoch), func() { system.arrive(r) })
	}
	tail := 40 * time.Second
	if e.longShare > 0 {
		tail = 5 * time.Minute
	}
	w.runUntil(epoch.Add(e.length + tail))
	w.close(all)
	return w.result
}

// Run runs the experiments and writes one table, naive against ours.
func Run(w io.Writer, opts Options) error {
	seed := max(opts.Seed, 1)
	table := newTable(w)
	for _, s := range sizes {
		if len(opts.Sizes) > 0 && !slices.Contains(opts.Sizes, s.name) {
			continue
		}
		for _, e := range experiments {
			if len(opts.Experiments) > 0 && !slices.Contains(opts.Experiments, e.name) {
				continue
			}
			if e.sessions && s.quick < 1 {
				// Hours of ticks at the large size take too long.
				continue
			}
			if s.quick < 1 {
				e = shorten(e, s.quick)
			}
			table.add(s, e, runAll(seed, s, e))
		}
		if len(opts.Experiments) == 0 || slices.Contains(opts.Experiments, "roles") {
			table.judgeRoles(seed, s)
		}
	}
	if err := table.flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// shorten cuts long experiments at large sizes.
func shorten(e experiment, factor float64) experiment {
	if e.length > 200*time.Second {
		e.length = scale(e.length, factor)
		e.logFrom, e.logTo = scale(e.logFrom, factor), scale(e.logTo, factor)
	}
	return e
}

// outcomes holds the runs of one experiment.
type outcomes struct {
	naive, ours *result
	// base is ours without the fault, or the oracle; nil if no target needs
	// one.
	base *result
	// oracle is ours with knowledge of the faults to come, and nil if that
	// says nothing of a target.
	oracle *result
}

func runAll(seed uint64, s size, e experiment) outcomes {
	var out outcomes
	var runs sync.WaitGroup
	runs.Go(func() { out.naive = simulate(seed, s, e, variant{naive: true}) })
	runs.Go(func() { out.ours = simulate(seed, s, e, variant{}) })
	if alter := baselines[e.name]; alter != nil {
		runs.Go(func() { out.base = simulate(seed, s, e, variant{alter: alter}) })
	}
	if e.slowShare > 0 {
		foretell := func(e *experiment) { e.foretold = true }
		runs.Go(func() { out.oracle = simulate(seed, s, e, variant{alter: foretell}) })
	}
	runs.Wait()
	return out
}

// baselines make of an experiment what its target compares with: an oracle
// with exact predictions and all replicas loaded, or the same without fault.
var baselines = map[string]func(*experiment){
	"swing":      func(e *experiment) { e.exact, e.preloaded = true, true },
	"stragglers": func(e *experiment) { e.slowShare = 0 },
	"long":       func(e *experiment) { e.longShare = 0 },
	"kv-move":    func(e *experiment) { e.kvGbit = 0 },
	"prefixes":   func(e *experiment) { e.noAffinity = true },
	"adapters":   func(e *experiment) { e.noAffinity = true },
}
