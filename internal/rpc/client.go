package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// dialTimeout bounds the set-up of a connection to another process.
const dialTimeout = time.Second

// ErrUnreachable means that the call was never sent.
var ErrUnreachable = errors.New("process unreachable")

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

	mu     sync.Mutex
	conns  map[string]*jsonrpc2.Conn
	closed bool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		Dial: func(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		dialer: net.Dialer{Timeout: dialTimeout},
		conns:  make(map[string]*jsonrpc2.Conn),
	}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, addr, err)
	}
	err = conn.Call(ctx, method, params, result)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		c.forget(addr, conn)
		return errors.Wrapf(ErrConnectionLost, "%s at %s", method, addr)
	}
	if err != nil {
		return errors.Wrapf(decodeError(err), "%s at %s", method, addr)
	}
	return nil
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
}

func (c *Client) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	if conn := c.known(addr); conn != nil {
		return conn, nil
	}
	raw, err := c.Dial(ctx, &c.dialer, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.adopt(addr, raw)
}

func (c *Client) known(addr string) *jsonrpc2.Conn {
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

func (c *Client) adopt(addr string, raw net.Conn) (*jsonrpc2.Conn, error) {
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
	stream := jsonrpc2.NewBufferedStream(counted(raw, c.Counter), FrameCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCall), quiet)
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) forget(addr string, conn *jsonrpc2.Conn) {
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
