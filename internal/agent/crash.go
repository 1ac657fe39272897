package agent

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
)

const (
	// crashCheck bounds the question whether the engine crashed.
	crashCheck = time.Second
	// crashPause lets the requests of a dying engine fail before the engine
	// is asked, so that the answer is about the time after the crash.
	crashPause = 20 * time.Millisecond
)

// engineRun is the set of requests that run on one incarnation of the engine.
type engineRun struct {
	incarnation string
	active      int
	// suspects is how many ran at the first broken answer, 0 before it.
	suspects int
}

// crashes finds out which requests were running when the engine crashed.
type crashes struct {
	engine platform.Engine
	// changed is called when the engine is found to have a new incarnation
	// or to be unreachable.
	changed func()

	mu      sync.Mutex
	current *engineRun
	checks  singleflight.Group
}

func newCrashes(engine platform.Engine, changed func()) *crashes {
	return &crashes{engine: engine, changed: changed, current: &engineRun{}}
}

// start counts a request that is about to be sent.
func (c *crashes) start() *engineRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.active++
	return c.current
}

func (c *crashes) finish(run *engineRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.active--
}

// observe takes in the incarnation of a listing.
func (c *crashes) observe(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeLocked(incarnation)
}

func (c *crashes) observeLocked(incarnation string) {
	if c.current.incarnation == "" {
		c.current.incarnation = incarnation
		return
	}
	if c.current.incarnation != incarnation {
		c.current = &engineRun{incarnation: incarnation}
	}
}

// broken returns how many requests were running if a broken answer was due to a
// crash of the engine, and 0 otherwise.
func (c *crashes) broken(ctx context.Context, run *engineRun) int {
	if c.engine == nil {
		return 0
	}
	c.mu.Lock()
	if run.suspects == 0 {
		run.suspects = run.active
	}
	c.mu.Unlock()
	crashed := c.check(ctx, run)
	c.mu.Lock()
	defer c.mu.Unlock()
	if crashed || run != c.current {
		return run.suspects
	}
	run.suspects = 0
	return 0
}

// check requests the engine's incarnation; concurrent checks share one
// question. An engine that can't be reached counts as crashed.
func (c *crashes) check(ctx context.Context, run *engineRun) bool {
	result, _, _ := c.checks.Do("status", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheck)
		defer cancel()
		time.Sleep(crashPause)
		status, err := c.engine.Status(ctx)
		if err != nil {
			return "", nil
		}
		return status.Incarnation, nil
	})
	incarnation := result.(string)
	c.changed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation == "" {
		return true
	}
	c.observeLocked(incarnation)
	return run.incarnation != incarnation
}
