package agent

import (
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
)

// pace measures how much slower than usual the upstream is, from the times to
// first token of streamed answers.
type pace struct {
	mu          sync.Mutex
	calibration estimate.SlowdownTracker
}

// factor is by how much predicted service times are multiplied, at least 1.
func (p *pace) factor() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calibration.Factor()
}

// awaited is a first token that has not come yet.
type awaited struct {
	pace  *pace
	began time.Time
	// prompt is the size of the request's body.
	prompt int
	// patience is the time between notes that the token is overdue.
	patience time.Duration
	timer    *time.Timer
	over     bool
}

// firstToken watches for the first token of a request that starts now and has a
// body of prompt bytes. The token is noted when it arrives, and that it is
// overdue until then. The second function ends the watch without a token.
func (p *pace) firstToken(prompt int) (arrived, abandoned func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &awaited{pace: p, began: time.Now(), prompt: prompt, patience: p.calibration.OverdueAfter(prompt)}
	if a.patience > 0 {
		a.timer = time.AfterFunc(a.patience, a.overdue)
	}
	return func() { a.end(true) }, func() { a.end(false) }
}

func (a *awaited) overdue() {
	a.pace.mu.Lock()
	defer a.pace.mu.Unlock()
	if a.over {
		return
	}
	a.pace.calibration.ObserveOverdue(time.Since(a.began), a.prompt)
	a.timer.Reset(a.patience)
}

func (a *awaited) end(token bool) {
	a.pace.mu.Lock()
	defer a.pace.mu.Unlock()
	if a.over {
		return
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	if token {
		a.pace.calibration.Observe(time.Since(a.began), a.prompt)
	}
}
