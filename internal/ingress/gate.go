// Package ingress bounds what callers can make a process hold: the memory of their
// unfinished requests, the sizes and times of heads and bodies, and the number of connections.
// docs/design/ingress-limits.md has the design.
package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Limits are the limits that may change while a gate is in use.
type Limits struct {
	// HeadBytes bounds the size of a request's head.
	HeadBytes state.Bytes
	// HeadTimeout bounds the time from the first byte of a head to its last, and
	// IdleTimeout the time without a request.
	HeadTimeout, IdleTimeout time.Duration
}

// Config configures a gate.
type Config struct {
	// Name is that of the listener in log lines.
	Name string
	// Memory bounds the memory of all unfinished requests together.
	Memory state.Bytes
	// Connections bounds the number of connections.
	Connections int
	// HeadLines bounds the number of lines of a head.
	HeadLines int
	// BodyGrace is how long a body may take before BodyRate, in bytes a second, counts, and
	// how long it may stall.
	BodyGrace time.Duration
	BodyRate  state.Bytes
	Limits    Limits
	Logger    *slog.Logger
	// Count counts a refusal; nil counts none.
	Count func(Limit)
}

// Gate applies limits to the connections of a listener.
type Gate struct {
	cfg      Config
	began    time.Time
	account  *account
	limits   atomic.Pointer[Limits]
	reporter *reporter
}

// New returns a gate.
func New(cfg Config) *Gate {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Count == nil {
		cfg.Count = func(Limit) {}
	}
	g := &Gate{cfg: cfg, began: time.Now(), account: newAccount(cfg.Memory)}
	g.reporter = newReporter(cfg.Name, cfg.Logger, cfg.Count)
	g.limits.Store(&cfg.Limits)
	return g
}

// SetLimits replaces the limits. Values that are not positive, or above those of the
// configuration, keep those.
func (g *Gate) SetLimits(limits Limits) {
	g.limits.Store(&Limits{
		HeadBytes:   lower(limits.HeadBytes, g.cfg.Limits.HeadBytes),
		HeadTimeout: lower(limits.HeadTimeout, g.cfg.Limits.HeadTimeout),
		IdleTimeout: lower(limits.IdleTimeout, g.cfg.Limits.IdleTimeout),
	})
}

func lower[T ~int64](value, most T) T {
	if value <= 0 {
		return most
	}
	return min(value, most)
}

// Used returns the memory that is charged now.
func (g *Gate) Used() state.Bytes { return state.Bytes(g.account.used.Load()) }

// Listen returns a listener of HTTP connections that are bounded.
func (g *Gate) Listen(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
	raw  bool
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw, l.raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit returns the connection if there is room for it. If need be it closes the one that has
// made no progress for longest. Raw connections are not charged: their number bounds what they
// hold without messages.
func (g *Gate) admit(inner net.Conn, raw bool) *conn {
	c := &conn{Conn: inner, gate: g, raw: raw}
	c.head.ended = raw
	c.progress.Store(int64(time.Since(g.began)))
	a := g.account
	a.mu.Lock()
	defer a.mu.Unlock()
	open := len(a.holders)
	full := open >= g.cfg.Connections || !raw && !a.tryAdd(c, connectionCost)
	if full {
		// Those that are being closed still count for a moment.
		victim := a.longestStalled()
		if victim == nil || open >= g.cfg.Connections+g.cfg.Connections/spareConnections {
			g.reporter.refused(LimitConnections)
			return nil
		}
		victim.evict(LimitConnections)
	}
	if full && !raw {
		a.used.Add(connectionCost)
		c.charged.Add(connectionCost)
	}
	a.holders[c] = struct{}{}
	return c
}

// spareConnections is the fraction of connections, as a divisor, that may be open beyond the
// limit while others are being closed.
const spareConnections = 16

// remove forgets a connection that was closed.
func (g *Gate) remove(c *conn) {
	g.account.mu.Lock()
	delete(g.account.holders, c)
	g.account.mu.Unlock()
	if !c.raw { // Messages are released by those that hold them.
		g.account.release(c, c.charged.Load())
	}
}

type connKey struct{}

// Configure makes a server use the limits. Its listener must be one of this gate.
func (g *Gate) Configure(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(raw net.Conn, to http.ConnState) {
		if c, ok := raw.(*conn); ok && to == http.StateIdle {
			c.head = head{}
			c.progress.Store(int64(time.Since(g.began)))
			c.phase.Store(idle)
		}
	}
	server.Handler = g.bound(server.Handler)
}

// bound checks and charges the head of a request before its handler runs.
func (g *Gate) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.startHandler()
		// A connection that is closed after the response stays open for some time.
		defer c.endRequest()
		// A head that came together with the request before it was not counted.
		lines, size := 0, 0
		for name, values := range r.Header {
			lines += len(values)
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		switch {
		case size > int(g.limits.Load().HeadBytes):
			g.refuseHead(w, LimitHeadBytes)
			return
		case lines > g.cfg.HeadLines:
			g.refuseHead(w, LimitHeadLines)
			return
		case c.chargeHead(lines, size) != nil: // It has been charged unless it was not counted.
			c.refuseFull(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gate) refuseHead(w http.ResponseWriter, limit Limit) {
	g.reporter.refused(limit)
	w.Header().Set("Connection", "close")
	verdict.Refuse(verdict.ReasonHeadTooLarge, "the head of the request exceeds a limit").WriteHTTP(w)
}

func (c *conn) refuseFull(w http.ResponseWriter) {
	if !c.evicted.Load() {
		c.gate.reporter.refused(LimitMemory)
	}
	w.Header().Set("Connection", "close")
	refuseFull().WriteHTTP(w)
}

func connOf(r *http.Request) *conn {
	if r == nil {
		return nil
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
