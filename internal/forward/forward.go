// Package forward sends single requests to upstreams over pooled connections and
// matches responses to requests. It never retries: each failure ends in a verdict
// on whether the request may have run.
package forward

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Request is a request as it is sent to an upstream.
type Request struct {
	// ID is repeated in the upstream's response.
	ID     string
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Check is called right before the request is written. If it returns an error,
	// nothing is sent. Nil checks nothing.
	Check func() error
}

func (r *Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// Client keeps connection pools for all upstreams.
type Client struct {
	dialect fleet.Dialect

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey includes the address so that a connection opened to one upstream process
// is not used for a later process of the same name.
type poolKey struct {
	name    state.UpstreamName
	address string
}

// NewClient returns a client that interprets response headers by dialect.
func NewClient(dialect fleet.Dialect) *Client {
	return &Client{dialect: dialect, pools: make(map[poolKey]*pool)}
}

func keyOf(u *fleet.Upstream) poolKey { return poolKey{u.Name, u.Address} }

func (c *Client) pool(u *fleet.Upstream) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[keyOf(u)]
	if !ok {
		p = &pool{address: u.Address}
		c.pools[keyOf(u)] = p
	}
	return p
}

// Retain closes the idle connections to all upstreams but the given ones.
func (c *Client) Retain(upstreams []*fleet.Upstream) {
	keep := make(map[poolKey]bool, len(upstreams))
	for _, u := range upstreams {
		keep[keyOf(u)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		if !keep[key] {
			p.closeIdle()
			delete(c.pools, key)
		}
	}
}

// CloseExpired closes connections that have exceeded their idle timeout.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeExpired(now)
	}
}

// Send sends a request and returns the response once its headers have arrived. The
// end of ctx closes the connection, which makes the upstream stop its work. The
// error is a *verdict.Verdict or that of req.Check.
func (c *Client) Send(ctx context.Context, u *fleet.Upstream, req *Request) (*Response, error) {
	p := c.pool(u)
	conn, err := p.get(ctx, time.Now())
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonUpstreamFailed, "connect: "+err.Error())
	}
	if err := req.check(); err != nil {
		conn.abort()
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.abort)
	conn.send(req)
	resp, info, err := conn.receive(req, c.dialect) //nolint:bodyclose // Response.Close closes the connection or returns it to the pool.
	if err != nil {
		stop()
		conn.abort()
		return nil, verdict.Unknown(verdict.ReasonUpstreamFailed, "receive response: "+err.Error())
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Info: info, keepAlive: resp.Header.Get("Keep-Alive"),
		resp: resp, conn: conn, pool: p, detach: stop,
	}, nil
}

// Refuses reports whether nothing listens at an upstream's address: its process has
// ended, but its host runs. A connection that is established meanwhile goes to the
// pool.
func (c *Client) Refuses(ctx context.Context, u *fleet.Upstream) bool {
	p := c.pool(u)
	conn, err := p.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(conn, time.Now(), "")
	return false
}
