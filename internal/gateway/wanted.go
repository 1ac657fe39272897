package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

const (
	// rateWindow is the time constant of the request rates.
	rateWindow = 10 * time.Second
	// minRate is the rate below which an idle target is no longer tracked.
	minRate = 5e-3
	// maxTargets and maxTargetName bound the targets that are tracked, and the bytes of the
	// names of one, since callers can name any models and adapters.
	maxTargets, maxTargetName = 4096, 512
	// dropTries is how many targets are compared to drop one.
	dropTries = 16
	// refusedDemandTTL is how long a refused request counts as waiting: its caller
	// is likely to retry.
	refusedDemandTTL = 2 * time.Second
)

// demand tracks the demand for models and adapters. Its methods may be called from
// any goroutine.
type demand struct {
	mu      sync.Mutex
	targets map[fleet.Target]*targetCount
	// reportNow triggers a report at once.
	reportNow chan struct{}
}

// targetCount counts the requests for a target.
type targetCount struct {
	waiting, running int
	// rate is an exponentially weighted rate of requests per second, and work one
	// of the seconds of engine time that their prompts needed.
	rate, work float64
	decayedAt  time.Time
	// lastRefusal is when a request was last refused because no upstream held the
	// target.
	lastRefusal time.Time
}

func (c *targetCount) decay(now time.Time) {
	factor := math.Exp(-now.Sub(c.decayedAt).Seconds() / rateWindow.Seconds())
	c.rate *= factor
	c.work *= factor
	c.decayedAt = now
}

func newDemand() *demand {
	return &demand{targets: make(map[fleet.Target]*targetCount), reportNow: make(chan struct{}, 1)}
}

// update changes the count of a target. It has no effect if too many are tracked and all of
// them are in use.
func (d *demand) update(t fleet.Target, change func(c *targetCount)) {
	if t.Model == "" || len(t.Model)+len(t.Adapter) > maxTargetName {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.targets[t]
	if !ok {
		if len(d.targets) >= maxTargets && !d.dropIdle() {
			return
		}
		c = &targetCount{decayedAt: time.Now()}
		d.targets[t] = c
	}
	change(c)
}

// dropIdle stops tracking the target with the lowest rate of a few that have no requests. It
// returns false if it finds none.
func (d *demand) dropIdle() bool {
	var idle fleet.Target
	lowest, tries := math.Inf(1), 0
	for t, c := range d.targets {
		if tries++; tries > dropTries {
			break
		}
		if c.waiting == 0 && c.running == 0 && c.rate < lowest {
			idle, lowest = t, c.rate
		}
	}
	delete(d.targets, idle)
	return !math.IsInf(lowest, 1)
}

func (d *demand) recordArrival(t fleet.Target) {
	d.update(t, func(c *targetCount) {
		c.decay(time.Now())
		c.rate += 1 / rateWindow.Seconds()
	})
}

// recordWork records the engine time that the prompt of a request needs.
func (d *demand) recordWork(t fleet.Target, work time.Duration) {
	d.update(t, func(c *targetCount) {
		c.decay(time.Now())
		c.work += work.Seconds() / rateWindow.Seconds()
	})
}

func (d *demand) addRunning(t fleet.Target, n int) {
	d.update(t, func(c *targetCount) { c.running = max(c.running+n, 0) })
}

// addWaiting changes the number of requests waiting for their target by n. An
// increase triggers a report to the controller.
func (d *demand) addWaiting(t fleet.Target, n int) {
	d.update(t, func(c *targetCount) { c.waiting = max(c.waiting+n, 0) })
	if n > 0 {
		select {
		case d.reportNow <- struct{}{}:
		default:
		}
	}
}

// recordRefusal records that a request was refused because no upstream held its
// target.
func (d *demand) recordRefusal(t fleet.Target) {
	d.update(t, func(c *targetCount) { c.lastRefusal = time.Now() })
}

// report returns the demand for all targets and stops tracking those without any.
func (d *demand) report(now time.Time) []rpc.TargetDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]rpc.TargetDemand, 0, len(d.targets))
	for t, c := range d.targets {
		c.decay(now)
		if c.waiting == 0 && c.running == 0 && c.rate < minRate {
			delete(d.targets, t)
			continue
		}
		waiting := c.waiting
		if waiting == 0 && now.Sub(c.lastRefusal) < refusedDemandTTL {
			waiting = 1
		}
		list = append(list, rpc.TargetDemand{
			Model: t.Model, Adapter: t.Adapter, Waiting: waiting, Running: c.running,
			Rate: roundTo3(c.rate), Work: roundTo3(c.work),
		})
	}
	return list
}

// roundTo3 rounds to three decimals, which keeps reports short.
func roundTo3(x float64) float64 { return math.Round(x*1e3) / 1e3 }
