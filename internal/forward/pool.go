package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection; regions are some tens of
	// milliseconds apart.
	dialTimeout = 800 * time.Millisecond
	// unackedLimit ends a connection whose sent bytes are not acknowledged.
	unackedLimit = 3 * time.Second
	// defaultIdleLimit holds for connections whose upstream names none.
	defaultIdleLimit = 3 * time.Second
	// idleShare is the part of the upstream's idle time that is used, so that
	// no request meets the upstream's closing of a connection.
	idleShare = 0.7
	// maxIdle bounds the idle connections to an upstream.
	maxIdle = 32
)

// pool keeps the idle connections to one upstream.
type pool struct {
	address string

	mu   sync.Mutex
	idle []*conn
}

// get returns an idle connection that is still good, or a new one.
func (p *pool) get(ctx context.Context, now time.Time) (*conn, error) {
	for {
		c := p.take()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Sub(c.lastUsed) < c.idleLimit && c.quiet() {
			return c, nil
		}
		c.abort()
	}
}

// take returns the connection used last.
func (p *pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control:         limitUnacked,
	}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return newConn(raw), nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "set user timeout")
	}
	return failed
}

// put keeps a connection for the next request.
func (p *pool) put(c *conn, now time.Time, answer http.Header) {
	c.lastUsed = now
	if limit, ok := idleLimit(answer.Get("Keep-Alive")); ok {
		c.idleLimit = limit
	}
	p.mu.Lock()
	full := len(p.idle) >= maxIdle
	if !full {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if full {
		c.abort()
	}
}

// idleLimit reads how long the other side keeps an idle connection.
func idleLimit(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(idleShare * float64(n) * float64(time.Second)), true
		}
	}
	return 0, false
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.abort()
	}
	p.idle = nil
}

func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) < c.idleLimit {
			kept = append(kept, c)
		} else {
			c.abort()
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
