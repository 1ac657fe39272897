package sse

import (
	"bytes"
	"io"
	"slices"

	"github.com/go-faster/errors"
)

// HeaderLastEventID asks for the rest of a stream after the event it names,
// and in the answer says that the stream goes on there.
const HeaderLastEventID = "Last-Event-ID"

const (
	readSize = 4 << 10
	// maxEvent bounds the event that is held back. A stream with a longer one
	// is passed on as it comes.
	maxEvent = 32 << 10
)

var idField = []byte("id:")

// EventReader reads a stream whose events have ids and hands out whole events only,
// so that the stream can go on from another connection after a cut. A stream
// whose first event has no id is handed out as it comes.
type EventReader struct {
	src     io.Reader
	held    []byte
	whole   int
	err     error
	decided bool
	asIs    bool
	lastID  string
}

// NewEventReader returns a reader of src.
func NewEventReader(src io.Reader) *EventReader { return &EventReader{src: src} }

// LastID returns the id of the last event handed out; empty if the stream
// can't be resumed.
func (e *EventReader) LastID() string {
	if e.asIs {
		return ""
	}
	return e.lastID
}

// Resume goes on with src, which begins after the last event handed out. A
// part of an event that was cut is dropped.
func (e *EventReader) Resume(src io.Reader) {
	e.src, e.held, e.whole, e.err = src, e.held[:0], 0, nil
}

// Read implements io.Reader. The error of the source comes after the last
// whole event, or after all that came if the source ended properly.
func (e *EventReader) Read(p []byte) (int, error) {
	for e.whole == 0 {
		if errors.Is(e.err, io.EOF) && len(e.held) > 0 {
			e.whole = len(e.held)
			break
		}
		if e.err != nil {
			return 0, e.err
		}
		if e.asIs {
			return e.src.Read(p)
		}
		e.fill()
	}
	n := copy(p, e.held[:e.whole])
	e.held = append(e.held[:0], e.held[n:]...)
	e.whole -= n
	return n, nil
}

// fill reads a part of the source and finds the end of its last whole event.
func (e *EventReader) fill() {
	e.held = slices.Grow(e.held, readSize)
	had := len(e.held)
	n, err := e.src.Read(e.held[had : had+readSize])
	e.held, e.err = e.held[:had+n], err
	if !e.decided && len(e.held) >= len(idField) {
		e.decided = true
		e.asIs = !bytes.HasPrefix(e.held, idField)
	}
	if len(e.held) > maxEvent {
		e.asIs = true
	}
	if e.asIs {
		e.whole = len(e.held)
		return
	}
	e.whole = bytes.LastIndex(e.held, []byte("\n\n")) + len("\n\n")
	if e.whole < len("\n\n")+1 {
		e.whole = 0
		return
	}
	for line := range bytes.Lines(e.held[:e.whole]) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
