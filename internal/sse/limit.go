package sse

import (
	"io"

	"github.com/go-faster/errors"
)

// maxOpenEvent bounds an event that has not ended, in bytes. A faulty upstream may
// send bytes without end.
const maxOpenEvent = 1 << 20

// ErrEventTooLong means that an event exceeds the limit of LimitEvents.
var ErrEventTooLong = errors.Errorf("event exceeds %d bytes", maxOpenEvent)

// eventLimit is the reader of LimitEvents.
type eventLimit struct {
	source io.Reader
	// open is the size of the event that has not ended yet.
	open int
	// edge has the last bytes, at most edgeSize, which may begin the end of an event.
	edge []byte
}

const edgeSize = maxEventEnd - 1

// LimitEvents returns a reader of src that returns ErrEventTooLong once an event
// exceeds 1 MiB. The bytes are returned as they arrive.
func LimitEvents(src io.Reader) io.Reader { return &eventLimit{source: src} }

// Read implements io.Reader.
func (l *eventLimit) Read(p []byte) (int, error) {
	if l.open > maxOpenEvent {
		return 0, ErrEventTooLong
	}
	n, err := l.source.Read(p)
	l.count(p[:n])
	return n, err
}

// count updates the size of the open event.
func (l *eventLimit) count(p []byte) {
	end := lastEventEnd(p)
	if end == 0 {
		head := p[:min(len(p), edgeSize)]
		end = lastEventEnd(append(l.edge, head...)) - len(l.edge)
	}
	if end > 0 {
		l.open = len(p) - end
	} else {
		l.open += len(p)
	}
	l.edge = append(l.edge, p[max(0, len(p)-edgeSize):]...)
	l.edge = append(l.edge[:0], l.edge[max(0, len(l.edge)-edgeSize):]...)
}
