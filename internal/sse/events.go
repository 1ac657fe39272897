package sse

import (
	"bytes"
	"io"
	"slices"
	"strconv"

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

var idField = []byte("id:")

// EventReader reads a stream whose events have ids and returns whole events only, so
// that the stream can be resumed from another connection after it was cut. A stream
// that does not begin with an id is passed through as it arrives.
type EventReader struct {
	// OnGrow is called with the number of bytes by which the buffer grows, if it is not nil.
	// It must be set before the first read.
	OnGrow func(bytes int)
	source io.Reader
	// The first ready bytes of buffer may be returned; the rest is an event
	// that is not yet whole.
	buffer []byte
	ready  int
	// err is the error of the last read of the source.
	err error
	// formatKnown is set once the stream's first bytes have been checked for an
	// id. passThrough is set if the stream can't be resumed and is returned as
	// it arrives.
	formatKnown bool
	passThrough bool
	lastID      string
	// unverified is set until a whole event has arrived since Resume. restExpected
	// is set if the stream was cut within an event, so that one has to arrive.
	unverified   bool
	restExpected bool
}

// ErrNotResumed means that a source does not continue the stream after its last event: it
// begins with other bytes than an event, or with an event that was returned before, or it
// is empty although the stream was cut within an event.
var ErrNotResumed = errors.New("the stream does not continue after its last event")

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

// Resume continues with src, which has to begin after the event with LastID: otherwise
// Read returns ErrNotResumed and nothing of src. Part of an event that was cut is dropped.
func (e *EventReader) Resume(src io.Reader) {
	e.restExpected = e.restExpected || len(e.buffer) > 0
	e.source, e.buffer, e.ready, e.err = src, e.buffer[:0], 0, nil
	e.unverified = true
}

// Read implements io.Reader. An error of the source is returned after the last whole
// event. If the source ends within an event, the error is io.ErrUnexpectedEOF.
func (e *EventReader) Read(p []byte) (int, error) {
	for e.ready == 0 {
		if errors.Is(e.err, io.EOF) {
			if err := e.end(); err != nil {
				return 0, err
			}
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

// end returns what Read returns at the end of the source. It returns nil if the rest of the
// buffer may be returned: the end mark, whose last event may lack its empty line, or bytes
// of a stream whose format is not known.
func (e *EventReader) end() error {
	switch {
	case e.unverified && e.restExpected:
		return ErrNotResumed
	case len(e.buffer) == 0:
		return io.EOF
	case e.formatKnown && !e.passThrough && !endsWithMark(e.buffer):
		return io.ErrUnexpectedEOF
	default:
		e.ready = len(e.buffer)
		return nil
	}
}

// fill reads from the source and sets ready to the end of the last whole event.
func (e *EventReader) fill() {
	size := cap(e.buffer)
	e.buffer = slices.Grow(e.buffer, readSize)
	if more := cap(e.buffer) - size; more > 0 && e.OnGrow != nil {
		e.OnGrow(more)
	}
	filled := len(e.buffer)
	n, err := e.source.Read(e.buffer[filled : filled+readSize])
	e.buffer, e.err = e.buffer[:filled+n], err
	if e.unverified && !e.verify() {
		return
	}
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
	e.ready = lastEventEnd(e.buffer)
	if id, ok := lastEventID(e.buffer[:e.ready]); ok {
		e.lastID = id
	}
}

// verify checks the first event since Resume once it is whole, and reports whether it
// continues the stream. If it does not, the buffer is dropped.
func (e *EventReader) verify() bool {
	first, whole := firstEvent(e.buffer)
	tooLong := len(first) > maxEventSize
	ended := errors.Is(e.err, io.EOF) && len(first) > 0
	switch {
	case whole && !tooLong && e.continues(first):
		e.unverified, e.restExpected = false, false
		return true
	case whole || tooLong || ended:
		e.buffer, e.err = e.buffer[:0], ErrNotResumed
	}
	return false
}

// continues reports whether an event may follow the one with LastID: ids increase. The
// end mark has none.
func (e *EventReader) continues(event []byte) bool {
	id, ok := lastEventID(event)
	if !ok {
		return isEndMark(string(bytes.TrimRight(event, lineEnds)))
	}
	last, err := strconv.ParseUint(e.lastID, 10, 64)
	next, err2 := strconv.ParseUint(id, 10, 64)
	if err != nil || err2 != nil {
		return id != e.lastID
	}
	return next > last
}

// lastEventID returns the last id in a series of events.
func lastEventID(events []byte) (id string, ok bool) {
	for len(events) > 0 {
		end := bytes.IndexAny(events, lineEnds)
		if end < 0 {
			end = len(events)
		}
		if text, found := bytes.CutPrefix(events[:end], idField); found {
			id, ok = string(bytes.TrimSpace(text)), true
		}
		events = events[min(end+1, len(events)):]
	}
	return id, ok
}
