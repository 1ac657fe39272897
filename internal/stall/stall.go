// Package stall ends connections whose peers have stopped reading, so that they don't hold
// memory and upstreams for as long as they like.
package stall

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Listener returns a listener whose connections fail a write of which the peer has taken
// nothing for the given time; zero never does. The peer may read as slowly as it likes.
// Writers must not set write deadlines of their own.
func Listener(l net.Listener, timeout time.Duration) net.Listener {
	if timeout <= 0 {
		return l
	}
	return &listener{Listener: l, timeout: timeout}
}

type listener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, timeout: l.timeout}, nil
}

// conn is a connection that limits how long a write may make no progress. It has no
// ReadFrom, so that each part of a copied body passes through Write.
type conn struct {
	net.Conn
	timeout time.Duration
}

// Write implements io.Writer. It returns an error that wraps os.ErrDeadlineExceeded if the
// peer has stopped reading.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case err == nil && written < len(p) && n == 0:
			return written, io.ErrShortWrite
		case err == nil && written == len(p):
			return written, nil
		case err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)):
			return written, err
		}
	}
}

// NetConn returns the connection that c limits.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end a response before it closes the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
