package sse_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
)

// Guards against a cut stream that is taken for a whole one, and against a
// whole one whose parts hide the end.
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
