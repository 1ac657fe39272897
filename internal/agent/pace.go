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
	calibration estimate.Calibration
}

// factor is by how much predicted service times are multiplied, at least 1.
func (p *pace) factor() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calibration.Factor()
}

func (p *pace) observe(first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calibration.Observe(first)
}

// firstToken watches for the first token of a request that starts now. The
// returned function is called at the token; a token that is long overdue is
// noticed without it.
func (p *pace) firstToken() (arrived func()) {
	began := time.Now()
	p.mu.Lock()
	patience := p.calibration.Patience()
	p.mu.Unlock()
	var once sync.Once
	notice := func() { once.Do(func() { p.observe(time.Since(began)) }) }
	if patience <= 0 {
		return notice
	}
	overdue := time.AfterFunc(patience, notice)
	return func() {
		overdue.Stop()
		notice()
	}
}
