package rpc

import "net"

// ByteCounter adds up the bytes sent and received on connections between processes.
type ByteCounter interface {
	ControlBytes(sent, received int)
}

// byteCountingConn reports the bytes that are read and written to a ByteCounter.
type byteCountingConn struct {
	net.Conn
	counter ByteCounter
}

// countBytes wraps conn so that counter counts its bytes; nil counts none.
func countBytes(conn net.Conn, counter ByteCounter) net.Conn {
	if counter == nil {
		return conn
	}
	return &byteCountingConn{Conn: conn, counter: counter}
}

// Read implements net.Conn.
func (c *byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.ControlBytes(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.ControlBytes(n, 0)
	return n, err
}
