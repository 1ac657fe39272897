// Package forward sends single requests to upstreams over connections that it
// keeps, and reads the answers that belong to them. It never repeats a request:
// each failure ends in a verdict that says whether the request may have run.
package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Request is a request as an upstream gets it.
type Request struct {
	// ID is echoed by the upstream's answer.
	ID     string
	Method string
	// URI is path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Client keeps the connections to all upstreams.
type Client struct {
	dialect fleet.Dialect

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey tells the starts of upstreams apart, so that no connection is used
// for another process than the one it was opened to.
type poolKey struct {
	name    state.UpstreamName
	address string
}

// NewClient returns a client that reads answers by dialect.
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

// Retain closes idle connections to upstreams that are not listed.
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

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeExpired(now)
	}
}

// Send sends a request and returns the answer once its headers are there. The
// end of ctx closes the connection, by which the upstream stops its work. The
// error is a *verdict.Verdict.
func (c *Client) Send(ctx context.Context, u *fleet.Upstream, req *Request) (*Answer, error) {
	p := c.pool(u)
	conn, err := p.get(ctx, time.Now())
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonUpstreamFailed, "connect: "+err.Error())
	}
	stop := context.AfterFunc(ctx, conn.abort)
	conn.send(req)
	resp, info, err := conn.receive(req, c.dialect) //nolint:bodyclose // Answer.Close ends the connection or gives it back.
	if err != nil {
		stop()
		conn.abort()
		return nil, verdict.Unknown(verdict.ReasonUpstreamFailed, "answer: "+err.Error())
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Info: info, resp: resp, conn: conn, pool: p, stop: stop}, nil
}
