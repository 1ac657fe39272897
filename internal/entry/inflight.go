package entry

import "sync"

// inFlight counts the requests in flight until it is closed. A wait group can't
// be used: requests that still come in would be added while it is waited for.
type inFlight struct {
	mu     sync.Mutex
	closed bool
	count  int
	empty  chan struct{}
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

func (f *inFlight) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}
