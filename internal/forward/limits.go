package forward

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Limits of what an upstream may send before the body of a response. A faulty
// upstream may send bytes without end, and a host has little memory.
const (
	// maxHead bounds the status line and headers of a response together with
	// the informational responses before it.
	maxHead = headers.MaxResponseHead
	// headTimeout bounds the time from the first byte of a head to its end.
	headTimeout = 2 * time.Second
	// maxInformational is how many informational (1xx) responses are skipped.
	maxInformational = 8
	// maxStray is how many responses to other requests are skipped.
	maxStray = 4
	// maxStrayBody and strayTimeout bound the body of a skipped response.
	maxStrayBody = state.MiB
	strayTimeout = time.Second
)

var (
	// errHeadTooLong means that a head exceeds maxHead.
	errHeadTooLong = errors.Errorf("head of the response exceeds %d bytes", int64(maxHead))
	// errInformational means that too many informational responses arrived.
	errInformational = errors.Errorf("more than %d informational responses", maxInformational)
	// errStatus means that the status code of a response is outside the classes of HTTP.
	errStatus = errors.New("invalid HTTP status code")
	// errStray means that only responses to other requests arrived on a connection.
	errStray = errors.New("received only responses to other requests")
	// errUnmatched means that a response has no id and may belong to an earlier request.
	errUnmatched = errors.New("response without an id on a connection with earlier requests")
	// errUnsealed means that a successful response is not marked as an upstream's own.
	errUnsealed = errors.New("successful response is not marked as an upstream's")
)

// limitedConn is a connection that limits the size and the duration of what is read
// while a head is expected. It is used by one goroutine at a time.
type limitedConn struct {
	net.Conn
	// inHead is set while the limits apply, and headBegun once the first byte has
	// arrived since the last call of expectHead.
	inHead, headBegun bool
	// remaining is how many bytes may still be read of the head.
	remaining state.Bytes
}

// startHead applies the limits to what is read from now on.
func (c *limitedConn) startHead() {
	c.inHead, c.remaining = true, maxHead
	c.expectHead()
}

// expectHead restarts the time limit: the next head may arrive at any time.
func (c *limitedConn) expectHead() {
	c.headBegun = false
	c.limitTime(0)
}

// endHead lifts the limits.
func (c *limitedConn) endHead() {
	c.inHead = false
	c.limitTime(0)
}

// limitTime lets reads fail after a duration; zero removes the limit. An error
// means that the connection is closed, which the next read shows.
func (c *limitedConn) limitTime(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = c.SetReadDeadline(deadline)
}

// Read implements io.Reader. Within a head it returns errHeadTooLong beyond the
// limit, and a timeout error if the head takes too long.
func (c *limitedConn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), int(c.remaining))])
	c.remaining -= state.Bytes(n)
	if n > 0 && !c.headBegun {
		c.headBegun = true
		c.limitTime(headTimeout)
	}
	return n, err
}
