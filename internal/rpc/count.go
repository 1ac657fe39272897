package rpc

import "net"

// ByteCounter counts the bytes of connections between processes.
type ByteCounter interface {
	ControlBytes(sent, received int)
}

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	counter ByteCounter
}

func counted(conn net.Conn, counter ByteCounter) net.Conn {
	if counter == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: counter}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.ControlBytes(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.ControlBytes(n, 0)
	return n, err
}
