package sse_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
)

// Guards against taking a cut stream for a complete one, and against missing the
// end of a complete one that is split at any place.
func TestEndMark(t *testing.T) {
	event := `data: {"text": "t1"}` + "\n\n"
	for stream, want := range map[string]bool{
		event + "data: [DONE]\n\n":            true,
		event + "data:[DONE]\r\n\r\n":         true,
		"data: [DONE]\n":                      true,
		event + "data: [DONE]":                false,
		event + "data: [DONE]\n\n" + event:    false,
		event + `data: {"text": "[DONE]"}`:    false,
		event + "data: x data: [DONE]\n\n":    false,
		event + strings.Repeat(event, 3):      false,
		"":                                    false,
		"\n\n":                                false,
		event + "data: {\"t\": \"[DONE]\"}\n": false,
	} {
		for size := 1; size <= len(stream)+1; size++ {
			var mark sse.EndDetector
			for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
				mark.Add([]byte(rest[:min(size, len(rest))]))
			}
			NewWithT(t).Expect(mark.Seen()).To(Equal(want), "%q in parts of %d", stream, size)
		}
	}
}

// Guards against a stream that is not checked for its end, since the upstream spells the
// media type in another way. Media types are not case-sensitive.
func TestIsEventStream(t *testing.T) {
	for value, want := range map[string]bool{
		"text/event-stream":                 true,
		"Text/Event-Stream":                 true,
		"TEXT/EVENT-STREAM; charset=UTF-8":  true,
		" text/event-stream ;charset=utf-8": true,
		"text/event-stream-archive":         false,
		"text/plain":                        false,
		"":                                  false,
	} {
		NewWithT(t).Expect(sse.IsEventStream(http.Header{"Content-Type": {value}})).To(Equal(want), "%q", value)
	}
}
