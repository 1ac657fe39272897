// Package sse reads streams of server-sent events as engines send them. It detects
// their end, a last event "data: [DONE]", and lets them be resumed after a cut.
package sse

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
)

// contentType is the media type of event streams.
const contentType = "text/event-stream"

// IsEventStream reports whether a response with these headers is an event stream.
func IsEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), contentType)
}

// tailSize is enough bytes for the last event with its line ends.
const tailSize = 32

// lineEnds has the bytes that end a line. A line may end with either or with CR LF.
const lineEnds = "\r\n"

// eventEnds are the ends of an event: an empty line. The first "\n" of "\n\r\n" may be
// the second half of a CR LF.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxEventEnd is the size of the longest of eventEnds.
const maxEventEnd = 3

// lastEventEnd returns the offset right after the last event that ends in a part of a
// stream, zero if none does.
func lastEventEnd(stream []byte) int {
	last := 0
	for _, end := range eventEnds {
		if at := bytes.LastIndex(stream, end); at >= 0 {
			last = max(last, at+len(end))
		}
	}
	return last
}

// firstEvent returns the first event of a part of a stream, without its end, and whether it
// is whole.
func firstEvent(stream []byte) (event []byte, whole bool) {
	event = stream
	for _, end := range eventEnds {
		if before, _, found := bytes.Cut(event, end); found {
			event, whole = before, true
		}
	}
	return event, whole
}

// EndDetector detects the end of an event, and of the last event, "data: [DONE]", in a
// stream that it gets in parts. Its zero value is ready to use.
type EndDetector struct{ tail []byte }

// Add adds the next part of the stream.
func (e *EndDetector) Add(part []byte) {
	if len(part) >= tailSize {
		e.tail = append(e.tail[:0], part[len(part)-tailSize:]...)
		return
	}
	e.tail = append(e.tail, part...)
	if len(e.tail) > tailSize {
		e.tail = append(e.tail[:0], e.tail[len(e.tail)-tailSize:]...)
	}
}

// Seen reports whether the stream so far ends with the last event and a line end.
// The same text within an event's data does not count, since it does not begin a
// line.
func (e *EndDetector) Seen() bool { return endsWithMark(e.tail) }

// endsWithMark reports whether a part of a stream ends with the end mark and a line end.
func endsWithMark(stream []byte) bool {
	text := bytes.TrimRight(stream, lineEnds)
	if len(text) == len(stream) {
		return false
	}
	line := text[bytes.LastIndexAny(text, lineEnds)+1:]
	return isEndMark(string(line))
}

// Empty reports whether the stream so far has no bytes.
func (e *EndDetector) Empty() bool { return len(e.tail) == 0 }

// AfterEvent reports whether the stream so far ends after an event. One that ends elsewhere
// was cut.
func (e *EndDetector) AfterEvent() bool {
	return slices.ContainsFunc(eventEnds, func(end []byte) bool { return bytes.HasSuffix(e.tail, end) })
}

// isEndMark reports whether a line is the one that ends a stream.
func isEndMark(line string) bool { return line == "data: [DONE]" || line == "data:[DONE]" }
