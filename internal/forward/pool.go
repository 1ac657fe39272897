package forward

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds establishing a connection. The latency between regions
	// is some tens of milliseconds.
	dialTimeout = 800 * time.Millisecond
	// unackedTimeout is the time after which a connection with unacknowledged data
	// is closed.
	unackedTimeout = 3 * time.Second
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutShare is the fraction of the upstream's idle timeout that is used,
	// so that no request is sent on a connection that the upstream is closing.
	idleTimeoutShare = 0.7
	// maxIdle bounds the idle connections to an upstream.
	maxIdle = 32
)

// pool keeps the idle connections to one upstream.
type pool struct {
	address string

	mu   sync.Mutex
	idle []*conn
}

// get returns an idle connection that is still usable, or a new one.
func (p *pool) get(ctx context.Context, now time.Time) (*conn, error) {
	for {
		c := p.take()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Sub(c.lastUsed) < c.idleTimeout && c.idleAndOpen() {
			return c, nil
		}
		c.abort()
	}
}

// take removes and returns the most recently used idle connection; nil if there is
// none.
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
		Control:         setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return newConn(raw), nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "set TCP user timeout")
	}
	return failed
}

// put returns a connection to the pool; keepAlive is the Keep-Alive header of the last
// response on it.
func (p *pool) put(c *conn, now time.Time, keepAlive string) {
	c.lastUsed = now
	if limit, ok := parseIdleTimeout(keepAlive); ok {
		c.idleTimeout = limit
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

// parseIdleTimeout returns the usable part of the timeout in a Keep-Alive header.
func parseIdleTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(idleTimeoutShare * float64(n) * float64(time.Second)), true
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
		if now.Sub(c.lastUsed) < c.idleTimeout {
			kept = append(kept, c)
		} else {
			c.abort()
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
