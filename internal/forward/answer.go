package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Response is an upstream's response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	Info   fleet.AnswerInfo

	// keepAlive is the upstream's Keep-Alive header, which is not passed on.
	keepAlive string

	resp     *http.Response
	conn     *conn
	pool     *pool
	detach   func() bool
	complete bool
	closed   bool
}

// Length returns the length of the body, or -1 if it is unknown.
func (r *Response) Length() int64 { return r.resp.ContentLength }

// Framed reports whether the end of the body is marked, by a length or by a last
// chunk. Otherwise the body ends with the connection, and may be truncated.
func (r *Response) Framed() bool {
	return r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0
}

// Read implements io.Reader. It returns io.EOF only after the complete body. A body that
// ends with the connection is not complete if the request had not been written by then: the
// upstream has broken off.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if !r.Framed() && r.conn.writeIncomplete.Load() {
			return n, errors.Wrap(io.ErrUnexpectedEOF, "read response")
		}
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(err, "read response")
	}
	return n, nil
}

// Abort closes the connection, which makes the upstream stop its work.
func (r *Response) Abort() {
	if r.closed {
		return
	}
	r.closed = true
	r.detach()
	r.conn.abort()
}

// Close returns the connection to the pool if the complete response was read and
// nothing else was received on it, and closes the connection otherwise. After the first
// call of Close or Abort it has no effect.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.detach() || !r.complete || r.resp.Close || !r.conn.clean() {
		r.conn.abort()
		return
	}
	r.pool.put(r.conn, time.Now(), r.keepAlive)
}
