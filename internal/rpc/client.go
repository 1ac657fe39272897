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

// dialTimeout bounds the time to connect to another process.
const dialTimeout = time.Second

const (
	// minSilence is how long a call that reaches its deadline must have waited,
	// with nothing received on its connection meanwhile, for the connection to
	// be replaced: the network path may be cut, and TCP may then wait up to
	// 2 min for its next retransmission. It is shorter than the 600 ms timeout
	// of a ping, so that a failed ping is enough.
	minSilence = 500 * time.Millisecond
	// retiredLifetime is how long a replaced connection stays open, since its
	// other calls may still be answered; none waits longer than the 25 s of a
	// long poll.
	retiredLifetime = 30 * time.Second
)

// ErrUnreachable means that the call was never sent.
var ErrUnreachable = errors.New("process unreachable")

// ErrConnectionRefused is joined to ErrUnreachable if the connection was
// refused: nothing listens at the address, so the process that did has ended.
var ErrConnectionRefused = errors.New("connection refused")

// ErrConnectionLost means that the connection ended before the response arrived.
// The server may have executed the call.
var ErrConnectionLost = errors.New("connection lost")

// Caller calls methods of other processes by address.
type Caller interface {
	// Call sends params and decodes the response into result. The error wraps
	// ErrUnreachable if the call was never sent, and ErrConnectionLost if the
	// connection ended before the response arrived. verdict.Of returns a verdict
	// that the server sent.
	Call(ctx context.Context, addr, method string, params, result any) error
}

// DialFunc opens a connection to addr using dialer.
type DialFunc func(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error)

// Client implements Caller. It keeps one connection to each process that it calls
// and replaces it when it fails.
type Client struct {
	// Counter counts the bytes of the connections if not nil. It must be set
	// before the first call.
	Counter ByteCounter
	// Dial opens the connections, by default without TLS. It must be set before
	// the first call.
	Dial   DialFunc
	dialer net.Dialer

	mu    sync.Mutex
	conns map[string]*clientConn
	// retired holds the replaced connections, which get no new calls, and the
	// timers that close them.
	retired map[*clientConn]*time.Timer
	closed  bool
}

// clientConn is a connection to another process.
type clientConn struct {
	*jsonrpc2.Conn
	transport *readCountingConn
}

// readCountingConn counts the reads that returned data.
type readCountingConn struct {
	net.Conn
	reads atomic.Uint64
}

// Read implements net.Conn.
func (c *readCountingConn) Read(p []byte) (int, error) {
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
		retired: make(map[*clientConn]*time.Timer),
	}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return unreachableError(err, method, addr)
	}
	start, reads := time.Now(), conn.transport.reads.Load()
	err = conn.Call(ctx, method, params, result)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.transport.reads.Load() == reads && time.Since(start) >= minSilence {
		c.retire(addr, conn)
	}
	var opErr *net.OpError
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.As(err, &opErr) {
		// jsonrpc2 does not close the connection when a write fails, but no
		// later write on it can succeed.
		_ = conn.Close()
		c.remove(addr, conn)
		return errors.Wrapf(ErrConnectionLost, "%s at %s", method, addr)
	}
	if err != nil {
		return errors.Wrapf(decodeError(err), "%s at %s", method, addr)
	}
	return nil
}

// unreachableError returns the error of a call for which no connection could be
// opened.
func unreachableError(err error, method, addr string) error {
	cause := ErrUnreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		cause = errors.Join(ErrUnreachable, ErrConnectionRefused)
	}
	return errors.Wrapf(cause, "%s at %s: %v", method, addr, err)
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
	for conn, timer := range c.retired {
		timer.Stop()
		_ = conn.Close()
	}
	clear(c.retired)
}

// retire takes conn out of use for new calls and closes it after retiredLifetime.
func (c *Client) retire(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.conns[addr] != conn {
		return
	}
	delete(c.conns, addr)
	c.retired[conn] = time.AfterFunc(retiredLifetime, func() {
		_ = conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.retired, conn)
	})
}

// conn returns the open connection to addr, or opens one.
func (c *Client) conn(ctx context.Context, addr string) (*clientConn, error) {
	if conn := c.openConn(addr); conn != nil {
		return conn, nil
	}
	raw, err := c.Dial(ctx, &c.dialer, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.register(addr, raw)
}

// openConn returns the connection to addr, or nil if there is none or it has ended.
func (c *Client) openConn(addr string) *clientConn {
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

// register starts a jsonrpc2 connection on raw as the one to addr. If another call
// has registered one meanwhile, it closes raw and returns that one.
func (c *Client) register(addr string, raw net.Conn) (*clientConn, error) {
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
	transport := &readCountingConn{Conn: countBytes(raw, c.Counter)}
	stream := jsonrpc2.NewBufferedStream(transport, FrameCodec{newInbound(raw, maxAnswerSize, false)})
	conn := &clientConn{
		Conn:      jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(rejectCall), discardLog),
		transport: transport,
	}
	c.conns[addr] = conn
	return conn, nil
}

// remove makes later calls to addr open a new connection, if conn is the current
// one.
func (c *Client) remove(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}

func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "client side serves no methods"}
}

// decodeError returns the verdict in a jsonrpc2 error as a *verdict.Verdict, which
// verdict.Of finds. Other errors are returned unchanged.
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
