// Package abort ends responses that can't be completed, so that their callers do not take
// them for whole.
package abort

import (
	"net"
	"net/http"
)

// Response ends the response that a handler has begun to write. It closes the connection and
// does not return: it panics with http.ErrAbortHandler. A caller of HTTP/1.0 gets a response
// whose end only the end of the connection marks, so its connection is reset.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response. If that is not possible, net/http closes it.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// Close of a TLS connection would first send the notice that the data is complete, so
	// the innermost connection is closed first.
	innermost := conn
	for {
		outer, ok := innermost.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		innermost = outer.NetConn()
	}
	if tcp, ok := innermost.(*net.TCPConn); ok {
		// An error means that the caller has closed the connection.
		_ = tcp.SetLinger(0)
	}
	_ = innermost.Close()
	_ = conn.Close()
}
