package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Answer is an upstream's answer whose body is yet to be read.
type Answer struct {
	Status int
	Header http.Header
	Info   fleet.AnswerInfo

	resp  *http.Response
	conn  *conn
	pool  *pool
	stop  func() bool
	whole bool
}

// Length returns the length of the body, or -1 if it is not known.
func (a *Answer) Length() int64 { return a.resp.ContentLength }

// Framed reports whether the end of the body is marked, by a length or by a last
// chunk. Otherwise it ends with the connection, which may have ended early.
func (a *Answer) Framed() bool {
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(err, "read answer")
	}
	return n, nil
}

// Close gives the connection back if the whole answer was read and nothing
// else is left on it, and closes it otherwise.
func (a *Answer) Close() {
	if !a.stop() || !a.whole || a.resp.Close || !a.conn.clean() {
		a.conn.abort()
		return
	}
	a.pool.put(a.conn, time.Now(), a.Header)
}
