package sse

import (
	"bytes"
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
	// open is the size of the event that has not ended yet, and newline says that
	// the last byte was a line feed.
	open    int
	newline bool
}

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
	if len(p) == 0 {
		return
	}
	if end := bytes.LastIndex(p, eventSeparator); end >= 0 {
		l.open = len(p) - end - len(eventSeparator)
	} else if l.newline && p[0] == '\n' {
		l.open = len(p) - 1
	} else {
		l.open += len(p)
	}
	l.newline = p[len(p)-1] == '\n'
}
