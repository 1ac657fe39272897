package entry

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// errStopping ends the contexts of requests that outlast the drain timeout.
var errStopping = errors.New("this entry is stopping")

// inFlight counts the requests in flight until it is closed. A wait group can't
// be used: requests that still come in would be added while it is waited for.
type inFlight struct {
	mu     sync.Mutex
	closed bool
	count  int
	empty  chan struct{}
	// ended is done once the requests in flight have to end.
	ended context.Context
	end   context.CancelFunc
}

// enter adds a request and reports false if the entry is stopping.
func (f *inFlight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closed && f.count == 0 {
		close(f.empty)
	}
}

// close lets no more requests enter and returns a channel that is closed once
// the last one has left. It is called once.
func (f *inFlight) close() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.empty = make(chan struct{})
	if f.count == 0 {
		close(f.empty)
	}
	return f.empty
}

// endAll ends the contexts of the requests in flight.
func (f *inFlight) endAll() {
	f.ending()
	f.end()
}

func (f *inFlight) ending() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended == nil {
		f.ended, f.end = context.WithCancel(context.Background())
	}
	return f.ended
}

// withEnd returns a context that endAll ends with the cause errStopping.
func (f *inFlight) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(f.ending(), func() { cancel(errStopping) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// endOf says why the context of a request has ended.
func endOf(ctx context.Context) (verdict.Reason, string) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.ReasonDeadlineExceeded, "the deadline passed"
	case errors.Is(cause, errStopping):
		return verdict.ReasonDraining, "this entry stopped"
	default:
		return verdict.ReasonCallerGone, "the caller left"
	}
}

func (f *inFlight) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}
