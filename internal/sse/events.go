package sse

import (
	"bytes"
	"io"
	"slices"

	"github.com/go-faster/errors"
)

// HeaderLastEventID in a request selects the rest of a stream after the event with
// that id. In the response it confirms that the stream continues there.
const HeaderLastEventID = "Last-Event-ID"

const (
	readSize = 4 << 10
	// maxEventSize bounds the incomplete event that is buffered. A stream with a
	// longer one is passed through from then on.
	maxEventSize = 32 << 10
)

var (
	idField        = []byte("id:")
	eventSeparator = []byte("\n\n")
)

// EventReader reads a stream whose events have ids and returns whole events only, so
// that the stream can be resumed from another connection after it was cut. A stream
// that does not begin with an id is passed through as it arrives.
type EventReader struct {
	source io.Reader
	// The first ready bytes of buffer may be returned; the rest is an event
	// that is not yet whole.
	buffer []byte
	ready  int
	// err is the error of the last read of the source.
	err error
	// formatKnown says that the stream's first bytes have been checked for an
	// id. passThrough says that the stream can't be resumed and is returned as
	// it arrives.
	formatKnown bool
	passThrough bool
	lastID      string
}

// NewEventReader returns a reader of the events of src.
func NewEventReader(src io.Reader) *EventReader { return &EventReader{source: src} }

// LastID returns the last event id that Read has returned or is about to return;
// empty if the stream can't be resumed.
func (e *EventReader) LastID() string {
	if e.passThrough {
		return ""
	}
	return e.lastID
}

// Resume continues with src, which begins after the event with LastID. Part of an
// event that was cut is dropped.
func (e *EventReader) Resume(src io.Reader) {
	e.source, e.buffer, e.ready, e.err = src, e.buffer[:0], 0, nil
}

// Read implements io.Reader. An error of the source is returned after the last whole
// event; after io.EOF, an unfinished event at the end is returned first.
func (e *EventReader) Read(p []byte) (int, error) {
	for e.ready == 0 {
		if errors.Is(e.err, io.EOF) && len(e.buffer) > 0 {
			e.ready = len(e.buffer)
			break
		}
		if e.err != nil {
			return 0, e.err
		}
		if e.passThrough {
			return e.source.Read(p)
		}
		e.fill()
	}
	n := copy(p, e.buffer[:e.ready])
	e.buffer = append(e.buffer[:0], e.buffer[n:]...)
	e.ready -= n
	return n, nil
}

// fill reads from the source and sets ready to the end of the last whole event.
func (e *EventReader) fill() {
	e.buffer = slices.Grow(e.buffer, readSize)
	filled := len(e.buffer)
	n, err := e.source.Read(e.buffer[filled : filled+readSize])
	e.buffer, e.err = e.buffer[:filled+n], err
	if !e.formatKnown && len(e.buffer) >= len(idField) {
		e.formatKnown = true
		e.passThrough = !bytes.HasPrefix(e.buffer, idField)
	}
	if len(e.buffer) > maxEventSize {
		e.passThrough = true
	}
	if e.passThrough {
		e.ready = len(e.buffer)
		return
	}
	e.ready = bytes.LastIndex(e.buffer, eventSeparator) + len(eventSeparator)
	if e.ready < len(eventSeparator)+1 {
		e.ready = 0
		return
	}
	for line := range bytes.Lines(e.buffer[:e.ready]) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
