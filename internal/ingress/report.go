package ingress

import (
	"log/slog"
	"sync"
	"time"
)

// Limit names a limit that refuses requests or connections.
type Limit string

// The limits.
const (
	LimitMemory      Limit = "memory"
	LimitConnections Limit = "connections"
	LimitHeadBytes   Limit = "head_bytes"
	LimitHeadLines   Limit = "head_lines"
	LimitBodyRate    Limit = "body_rate"
	LimitMessage     Limit = "message"
)

// quietTime is how long a limit has to refuse nothing until a log line says so.
const quietTime = 10 * time.Second

// reporter counts refusals, and logs when a limit begins and ends to refuse.
type reporter struct {
	name   string
	logger *slog.Logger
	count  func(Limit)

	mu     sync.Mutex
	active map[Limit]*refusals
}

type refusals struct {
	number int
	last   time.Time
}

func newReporter(name string, logger *slog.Logger, count func(Limit)) *reporter {
	return &reporter{name: name, logger: logger, count: count, active: make(map[Limit]*refusals)}
}

func (r *reporter) refused(limit Limit) {
	r.count(limit)
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.active[limit]; ok {
		current.number++
		current.last = time.Now()
		return
	}
	r.active[limit] = &refusals{number: 1, last: time.Now()}
	r.logger.Warn("limit begins to refuse", "listener", r.name, "limit", string(limit))
	time.AfterFunc(quietTime, func() { r.check(limit) })
}

// check logs the end of the refusals if there has been none for some time.
func (r *reporter) check(limit Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.active[limit]
	if left := quietTime - time.Since(current.last); left > 0 {
		time.AfterFunc(left, func() { r.check(limit) })
		return
	}
	delete(r.active, limit)
	r.logger.Info("limit has ceased to refuse", "listener", r.name, "limit", string(limit), "refused", current.number)
}
