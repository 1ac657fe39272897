package ingress

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is used for.
type phase = int32

// The phases. In the first three the request has not been handed to an upstream.
const (
	idle phase = iota
	readingHead
	readingBody
	running
)

const (
	// connectionCost is the memory of a connection without a request: the buffers of
	// net/http (4 KiB each way) and the stacks of its goroutines.
	connectionCost = 16 << 10
	// lineCost is the memory of a header line beyond its bytes: an entry of a map, a slice
	// and its strings. 5,500 lines with different names take about 170 bytes each.
	lineCost = 192
	// byteCost is the memory of a byte of a head: it is held once by the request, and once
	// by the copy that is sent on.
	byteCost = 2
)

// The responses to heads that are refused before net/http has parsed them.
const (
	headRefused = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	fullRefused = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// refusalWriteTimeout bounds the write of a response to a refused head.
const refusalWriteTimeout = time.Second

// conn is a caller's connection. It bounds the heads that are read from it.
type conn struct {
	net.Conn
	gate    *Gate
	phase   atomic.Int32
	charged atomic.Int64
	// progress is the time, since the gate was made, at which bytes were last read.
	progress atomic.Int64
	evicted  atomic.Bool
	close    sync.Once
	// raw says that the connection has messages instead of HTTP requests.
	raw       bool
	inMessage atomic.Bool

	// head is only used by the goroutine that reads the connection.
	head head
	// deadlines guards the underlying read deadline against a change after an eviction.
	// wanted is the deadline that net/http has set.
	deadlines sync.Mutex
	wanted    time.Time
}

// head is the progress of a head that is being read.
type head struct {
	began time.Time
	bytes int
	lines int
	// lineLen is the length of the current line so far, and loneCR that it is a carriage
	// return.
	lineLen int
	loneCR  bool
	ended   bool
	// charged is what the head is charged.
	charged int64
}

// stalled returns how long the connection has made no progress.
func (c *conn) stalled(now time.Time) time.Duration {
	return max(now.Sub(c.gate.began)-time.Duration(c.progress.Load()), time.Millisecond)
}

// weight is what the connection holds, with more bytes, times how long it has made no progress.
// One with the highest weight is ended first. It is zero for one that holds nothing.
func (c *conn) weight(now time.Time, more int64) float64 {
	held, stalled := c.charged.Load()+more, c.stalled(now)
	if c.raw {
		return float64(held) * float64(min(stalled, maxRawStall)+rawStall)
	}
	// A connection without a request costs little and comes last.
	return float64(held-connectionCost+1) * float64(stalled)
}

// Read implements io.Reader. While a head is being read it counts and charges it; a head
// over a limit is answered here, and the connection reads as ended.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.progress.Store(int64(now.Sub(c.gate.began)))
	if c.phase.Load() > readingHead || c.head.ended {
		return n, err
	}
	if c.phase.CompareAndSwap(idle, readingHead) {
		c.head.began = now
		c.limitHeadTime()
	}
	if refused := c.countHead(p[:n]); refused != "" {
		c.refuseHead(refused)
		return 0, io.EOF
	}
	return n, err
}

// countHead counts the bytes of a head and charges them. It returns the limit that the head
// exceeds, if any.
func (c *conn) countHead(p []byte) Limit {
	h, before := &c.head, c.head.bytes
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.loneCR = h.lineLen == 0 && len(p) == 1 && p[0] == '\r'
			h.bytes += len(p)
			h.lineLen += len(p)
			break
		}
		h.bytes += end + 1
		h.lines++
		length := h.lineLen + end
		empty := length == 0 || length == 1 && (h.loneCR || end == 1 && p[0] == '\r')
		h.lineLen, h.loneCR = 0, false
		// Empty lines before the request line don't end the head.
		if empty && h.bytes > 2*h.lines {
			h.ended = true
			break
		}
		p = p[end+1:]
	}
	limits := c.gate.limits.Load()
	switch {
	case h.bytes > int(limits.HeadBytes):
		return LimitHeadBytes
	case h.lines > c.gate.cfg.HeadLines+1: // One line more ends the head.
		return LimitHeadLines
	case h.bytes == before:
		return ""
	}
	if c.chargeHead(h.lines, h.bytes) != nil {
		return LimitMemory
	}
	return ""
}

// chargeHead charges a head of which this much was read.
func (c *conn) chargeHead(lines, size int) error {
	cost := int64(lines*lineCost + size*byteCost)
	if more := cost - c.head.charged; more > 0 {
		if err := c.gate.account.add(c, more); err != nil {
			return err
		}
		c.head.charged = cost
	}
	return nil
}

func (c *conn) refuseHead(limit Limit) {
	if c.evicted.Load() {
		return // It was counted then.
	}
	c.gate.reporter.refused(limit)
	response := headRefused
	if limit == LimitMemory {
		response = fullRefused
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	// The caller may have gone.
	_, _ = io.WriteString(c.Conn, response)
}

// SetReadDeadline implements net.Conn. It shortens the times that net/http allows for idle
// connections and heads to the limits in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.evicted.Load() {
		return nil
	}
	c.wanted = t
	if !t.IsZero() && !c.raw {
		limits, now := c.gate.limits.Load(), time.Now()
		switch c.phase.Load() {
		case idle:
			t = earlier(t, now.Add(limits.IdleTimeout))
		case readingHead:
			t = earlier(t, c.head.began.Add(limits.HeadTimeout))
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// limitHeadTime applies the time for a head, whose first byte has been read.
func (c *conn) limitHeadTime() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if !c.evicted.Load() {
		_ = c.Conn.SetReadDeadline(c.head.began.Add(c.gate.limits.Load().HeadTimeout))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// startHandler begins the part of a request that follows its head. The time for the head does
// not apply any more.
func (c *conn) startHandler() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.phase.Store(readingBody)
	if !c.evicted.Load() {
		_ = c.Conn.SetReadDeadline(c.wanted)
	}
}

// evict ends what the connection is used for, unless its request was received. A request
// whose body is being read can still be answered.
func (c *conn) evict(limit Limit) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.phase.Load() == running || c.evicted.Swap(true) {
		return
	}
	c.gate.reporter.refused(limit)
	if c.phase.Load() < readingBody {
		c.closeNow()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// closeNow closes the innermost connection, without a TLS alert, whose write may block.
func (c *conn) closeNow() {
	inner := c.Conn
	for {
		outer, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = outer.NetConn()
	}
	_ = inner.Close()
}

// startRequest marks the request as received: it is not ended any more to make room for
// others. It returns false if it was ended before.
func (c *conn) startRequest() bool {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.evicted.Load() {
		return false
	}
	c.phase.Store(running)
	return true
}

// endRequest releases what the request was charged.
func (c *conn) endRequest() {
	c.gate.account.release(c, max(c.charged.Load()-connectionCost, 0))
	c.head.charged = 0
}

// NetConn returns the connection that c bounds.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end a response before it closes the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It releases all that the connection was charged.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.close.Do(func() { c.gate.remove(c) })
	return err
}
