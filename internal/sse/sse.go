// Package sse detects the end of streams of server-sent events as engines
// send them: a last event "data: [DONE]".
package sse

import (
	"bytes"
	"net/http"
	"strings"
)

// contentType is the media type of event streams.
const contentType = "text/event-stream"

// IsEventStream reports whether an answer with these headers is an event stream.
func IsEventStream(h http.Header) bool { return strings.HasPrefix(h.Get("Content-Type"), contentType) }

// tailSize covers the last event with its line ends.
const tailSize = 32

// EndDetector looks for the last event in the parts of a stream. Its zero value is
// ready for the first part.
type EndDetector struct{ tail []byte }

// Add takes the next part of the stream.
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

// Seen reports whether the parts so far end with the last event. The same text
// within an event's data does not count, since it does not begin a line.
func (e *EndDetector) Seen() bool {
	text := bytes.TrimRight(e.tail, "\r\n")
	if len(text) == len(e.tail) {
		return false
	}
	line := text[bytes.LastIndexAny(text, "\r\n")+1:]
	return string(line) == "data: [DONE]" || string(line) == "data:[DONE]"
}
