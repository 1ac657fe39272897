package ingress

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// firstBuffer is the size of the buffer for the first part of a body.
	firstBuffer = 4 << 10
	// fullRetryAfter is the Retry-After sent while the account is full.
	fullRetryAfter = time.Second
)

func refuseFull() *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonQueueFull, "the memory for callers' requests is full").WithRetryAfter(fullRetryAfter)
}

// ReadBody reads the whole body of a request, up to limit, into memory that grows with what
// has arrived. A request that was not received through a gate is read without an account.
// The body may take timeout, or any time if that is zero. The verdict, nil if the body was
// read, says that the request has not run. A request that was read is not ended any more to
// make room for others.
func ReadBody(w http.ResponseWriter, r *http.Request, limit state.Bytes, timeout time.Duration) ([]byte, *verdict.Verdict) {
	c := connOf(r)
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		if c != nil && !c.startRequest() {
			return nil, refuseFull()
		}
		return nil, nil
	}
	if r.ContentLength > int64(limit) {
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, "declared body length exceeds the limit")
	}
	b := &bodyReader{conn: c, control: http.NewResponseController(w), began: time.Now(), timeout: timeout, most: int64(limit) + 1}
	if r.ContentLength > 0 {
		// One byte more shows that the body has ended: net/http detects a disconnected
		// caller only then.
		b.most = r.ContentLength + 1
	}
	err := b.read(r.Body)
	// The time for the body must not end the request.
	_ = b.control.SetReadDeadline(time.Time{})
	if err != nil {
		w.Header().Set("Connection", "close")
		if c != nil {
			c.gate.account.release(c, int64(cap(b.data)))
		}
		b.data = nil
		return nil, b.refuse(err)
	}
	switch size := int64(len(b.data)); {
	case size > int64(limit):
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, "chunked body exceeds the limit")
	case r.ContentLength > 0 && size > r.ContentLength:
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "body is longer than its declared length")
	}
	if c != nil && !c.startRequest() {
		return nil, refuseFull()
	}
	return b.data, nil
}

// Charge adds memory that a response holds until its request ends. It is never refused, but
// leaves less room for new requests.
func Charge(r *http.Request, bytes int) {
	if c := connOf(r); c != nil {
		c.charged.Add(int64(bytes))
		c.gate.account.used.Add(int64(bytes))
	}
}

// bodyReader reads one body.
type bodyReader struct {
	// conn is nil for a request that was not received through a gate.
	conn    *conn
	control *http.ResponseController
	began   time.Time
	// timeout bounds the time of the whole body if it is not zero.
	timeout time.Duration
	// most is how many bytes are read at most.
	most int64
	data []byte
}

func (b *bodyReader) read(body io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			if int64(len(b.data)) >= b.most {
				return nil
			}
			if err := b.grow(); err != nil {
				return err
			}
		}
		b.setDeadline()
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer. Both buffers are charged while the content is copied.
func (b *bodyReader) grow() error {
	old := int64(cap(b.data))
	size := min(max(2*old, firstBuffer), b.most)
	if b.conn != nil {
		if err := b.conn.gate.account.add(b.conn, size); err != nil {
			return err
		}
		defer b.conn.gate.account.release(b.conn, old)
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}

// setDeadline sets the time by which the next bytes have to arrive.
func (b *bodyReader) setDeadline() {
	var deadline time.Time
	if b.timeout > 0 {
		deadline = b.began.Add(b.timeout)
	}
	if b.conn != nil {
		cfg := &b.conn.gate.cfg
		byPace := b.began.Add(cfg.BodyGrace + time.Duration(len(b.data))*time.Second/time.Duration(cfg.BodyRate))
		byPace = earlier(byPace, time.Now().Add(cfg.BodyGrace))
		if deadline.IsZero() || byPace.Before(deadline) {
			deadline = byPace
		}
	}
	// Not every connection of a test supports deadlines; the body is bounded in size.
	_ = b.control.SetReadDeadline(deadline)
}

func (b *bodyReader) refuse(err error) *verdict.Verdict {
	switch {
	case b.conn != nil && b.conn.evicted.Load():
		return refuseFull()
	case errors.Is(err, errFull):
		b.conn.gate.reporter.refused(LimitMemory)
		return refuseFull()
	case errors.Is(err, os.ErrDeadlineExceeded):
		if b.conn != nil {
			b.conn.gate.reporter.refused(LimitBodyRate)
		}
		return verdict.Refuse(verdict.ReasonBodyTooSlow, "the body arrived too slowly")
	default:
		return verdict.Refuse(verdict.ReasonCallerGone, err.Error())
	}
}
