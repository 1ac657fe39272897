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
func IsEventStream(h http.Header) bool { return strings.HasPrefix(h.Get("Content-Type"), contentType) }

// tailSize is enough bytes for the last event with its line ends.
const tailSize = 32

// eventEnds are the ends of an event: an empty line, with each of the line ends that
// streams may use.
var eventEnds = [][]byte{eventSeparator, []byte("\r\n\r\n"), []byte("\r\r")}

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
func (e *EndDetector) Seen() bool {
	text := bytes.TrimRight(e.tail, "\r\n")
	if len(text) == len(e.tail) {
		return false
	}
	line := text[bytes.LastIndexAny(text, "\r\n")+1:]
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
