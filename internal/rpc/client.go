package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// dialTimeout bounds the set-up of a connection to another process.
const dialTimeout = time.Second

const (
	// silentFor is how long a call that ends without an answer must have
	// waited for its connection to count as cut if nothing was received on it
	// meanwhile. It is shorter than the 600 ms that a ping may take. After a
	// cut, TCP may wait up to 2 min for its next retransmission.
	silentFor = 500 * time.Millisecond
	// closeAfter is when a connection that counts as cut is closed. Its other
	// calls may still be answered; none waits longer than the 25 s of a poll.
	closeAfter = 30 * time.Second
)

// ErrUnreachable means that the call was never sent.
var ErrUnreachable = errors.New("process unreachable")

// ErrConnectionRefused means, besides ErrUnreachable, that nothing listens at the address:
// the process that did has ended.
var ErrConnectionRefused = errors.New("connection refused")

// ErrConnectionLost means that the connection ended before the answer: the
// other side may have carried the call out.
var ErrConnectionLost = errors.New("connection lost")

// Caller calls methods of other processes by address.
type Caller interface {
	// Call sends params and decodes the answer into result. The error wraps
	// ErrUnreachable if the call was never sent, and ErrConnectionLost if the
	// answer can't come any more; a verdict of the other side is found by
	// verdict.Of.
	Call(ctx context.Context, addr, method string, params, result any) error
}

// DialFunc opens a connection with a dialer.
type DialFunc func(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error)

// Client keeps one connection to each process that it calls.
type Client struct {
	// Counter counts the bytes of the connections; nil counts none. It is
	// set before the first call.
	Counter ByteCounter
	// Dial opens the connections; default in clear text. It is set before the
	// first call.
	Dial   DialFunc
	dialer net.Dialer

	mu    sync.Mutex
	conns map[string]*clientConn
	// leaving holds the connections that get no new calls, with the timers
	// that close them.
	leaving map[*clientConn]*time.Timer
	closed  bool
}

// clientConn is a connection to another process.
type clientConn struct {
	*jsonrpc2.Conn
	heard *heardConn
}

// heardConn counts the reads that returned something.
type heardConn struct {
	net.Conn
	reads atomic.Uint64
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		Dial: func(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		dialer:  net.Dialer{Timeout: dialTimeout},
		conns:   make(map[string]*clientConn),
		leaving: make(map[*clientConn]*time.Timer),
	}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return unreachable(err, method, addr)
	}
	began, reads := time.Now(), conn.heard.reads.Load()
	err = conn.Call(ctx, method, params, result)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.heard.reads.Load() == reads && time.Since(began) >= silentFor {
		c.leave(addr, conn)
	}
	var op *net.OpError
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.As(err, &op) {
		// A failed write does not close the connection, but no later one on it
		// can succeed.
		_ = conn.Close()
		c.forget(addr, conn)
		return errors.Wrapf(ErrConnectionLost, "%s at %s", method, addr)
	}
	if err != nil {
		return errors.Wrapf(decodeError(err), "%s at %s", method, addr)
	}
	return nil
}

// unreachable returns the error of a call that found no connection.
func unreachable(err error, method, addr string) error {
	cause := ErrUnreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		cause = errors.Join(ErrUnreachable, ErrConnectionRefused)
	}
	return errors.Wrapf(cause, "%s at %s: %v", method, addr, err)
}

// Close closes all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
	for conn, timer := range c.leaving {
		timer.Stop()
		_ = conn.Close()
	}
	clear(c.leaving)
}

// leave makes new calls use another connection.
func (c *Client) leave(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.conns[addr] != conn {
		return
	}
	delete(c.conns, addr)
	c.leaving[conn] = time.AfterFunc(closeAfter, func() {
		_ = conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.leaving, conn)
	})
}

func (c *Client) conn(ctx context.Context, addr string) (*clientConn, error) {
	if conn := c.known(addr); conn != nil {
		return conn, nil
	}
	raw, err := c.Dial(ctx, &c.dialer, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.adopt(addr, raw)
}

func (c *Client) known(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[addr]
	if !ok {
		return nil
	}
	select {
	case <-conn.DisconnectNotify():
		delete(c.conns, addr)
		return nil
	default:
		return conn
	}
}

func (c *Client) adopt(addr string, raw net.Conn) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = raw.Close()
		return nil, errors.New("client closed")
	}
	if conn, ok := c.conns[addr]; ok {
		_ = raw.Close()
		return conn, nil
	}
	heard := &heardConn{Conn: counted(raw, c.Counter)}
	stream := jsonrpc2.NewBufferedStream(heard, FrameCodec{})
	conn := &clientConn{
		Conn:  jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCall), quiet),
		heard: heard,
	}
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) forget(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}

func refuseCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "client side serves no methods"}
}

// decodeError turns a verdict that the other side sent back into an error
// that verdict.Of finds.
func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) || rpcErr.Code != codeVerdict || rpcErr.Data == nil {
		return err
	}
	v := &verdict.Verdict{}
	if json.Unmarshal(*rpcErr.Data, v) != nil {
		return err
	}
	return v
}
