package standin

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
)

// speedCheck is how often a running work looks at the slowdown.
const speedCheck = 100 * time.Millisecond

// sharedRate runs works side by side. Up to full of them run at full speed;
// beyond that they share it equally.
type sharedRate struct {
	full     int
	slowdown func() float64

	mu      sync.Mutex
	active  int
	changed chan struct{}
}

func newSharedRate(full int, slowdown func() float64) *sharedRate {
	return &sharedRate{full: full, slowdown: slowdown, changed: make(chan struct{})}
}

func (s *sharedRate) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// run returns once work, given in time at full speed, is done.
func (s *sharedRate) run(ctx context.Context, work time.Duration) error {
	s.join(1)
	defer s.join(-1)
	left := float64(work)
	for left >= 1 {
		factor, changed := s.speed()
		step := min(time.Duration(left*factor)+1, speedCheck)
		began := time.Now()
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrap(platform.ErrUnavailable, "caller left during the load")
		}
		left -= float64(time.Since(began)) / factor
	}
	return nil
}

func (s *sharedRate) join(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += change
	close(s.changed)
	s.changed = make(chan struct{})
}

// speed returns how many times longer work takes now, and a channel that is
// closed when the number of works changes.
func (s *sharedRate) speed() (factor float64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor = max(1, float64(s.active)/float64(s.full))
	return factor * max(1, s.slowdown()), s.changed
}
