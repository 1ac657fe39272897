package ingress

import (
	"net"
	"time"

	"github.com/go-faster/errors"
)

const (
	// rawStall is added to the time without progress of raw connections, which counts up to
	// maxRawStall: one that waits for the answer to a short call must not count for more than
	// one that sends all the time.
	rawStall    = time.Second
	maxRawStall = 9 * time.Second
	// rawPatience is how long a message waits for room before connections are closed to make
	// room for it, since calls may just be handled slowly. Connections that have stalled for
	// rawStall within a message are closed at once. rawPoll is the time between two attempts.
	rawPatience = 3 * time.Second
	rawPoll     = 20 * time.Millisecond
)

// ListenRaw returns a listener of connections of which the number is bounded, and the memory
// of messages that their readers hold.
func (g *Gate) ListenRaw(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g, raw: true}
}

// Raw bounds a connection that was opened by this process. It closes it, and returns an
// error, if there is no room for it.
func (g *Gate) Raw(inner net.Conn) (net.Conn, error) {
	if c := g.admit(inner, true); c != nil {
		return c, nil
	}
	_ = inner.Close()
	return nil, errors.New("too many connections")
}

// Hold charges n bytes of messages. If there is no room, it closes those connections whose
// messages hold most for longest, and returns an error if that would be this one.
func (c *conn) Hold(n int64) error {
	a := c.gate.account
	if a.tryAdd(c, n) {
		return nil
	}
	if c.inMessage.Swap(false) { // The peer doesn't stall while this end waits.
		defer func() {
			c.progress.Store(int64(time.Since(c.gate.began)))
			c.inMessage.Store(true)
		}()
	}
	for end := time.Now().Add(rawPatience); n <= a.limit && time.Now().Before(end); time.Sleep(rawPoll) {
		if c.evicted.Load() {
			return errFull
		}
		if a.tryAdd(c, n) {
			return nil
		}
		a.evictStuck(c)
	}
	err := a.add(c, n)
	if err != nil && !c.evicted.Load() {
		c.gate.reporter.refused(LimitMemory)
	}
	return err
}

// evictStuck closes the connection that has stalled within a message and holds most for
// longest, if there is one other than c.
func (a *account) evictStuck(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var victim *conn
	highest := 0.0
	for other := range a.holders {
		if other == c || !other.inMessage.Load() || other.evicted.Load() || other.stalled(now) < rawStall {
			continue
		}
		if weight := other.weight(now, 0); weight > highest {
			victim, highest = other, weight
		}
	}
	if victim != nil {
		victim.evict(LimitMemory)
	}
}

// InMessage says whether a part of a message has been read.
func (c *conn) InMessage(yes bool) { c.inMessage.Store(yes) }

// Release returns n bytes that were charged by Hold.
func (c *conn) Release(n int64) { c.gate.account.release(c, n) }

// RefuseMessage counts a message that was refused for its length.
func (c *conn) RefuseMessage() { c.gate.reporter.refused(LimitMessage) }
