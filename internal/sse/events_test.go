package sse_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
)

// Guards against a part of an event that reaches the caller twice, or an event
// that is lost, when a stream goes on after a cut at any place.
func TestEventsResumeAtAnyCut(t *testing.T) {
	cut := errors.New("cut")
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\ndata: [DONE]\n\n"
	rest := map[string]string{"": stream, "1": stream[15:], "2": stream[30:], "3": stream[45:]}
	for at := range len(stream) {
		for _, whole := range []bool{true, false} {
			g := NewWithT(t)
			src := io.MultiReader(strings.NewReader(stream[:at]), iotest.ErrReader(cut))
			if !whole {
				src = iotest.OneByteReader(src)
			}
			events := sse.NewEventReader(src)
			first, err := io.ReadAll(events)
			g.Expect(err).To(MatchError(cut))
			events.Resume(strings.NewReader(rest[events.LastID()]))
			second, err := io.ReadAll(events)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(first)+string(second)).To(Equal(stream), "cut at %d", at)
		}
	}
}

// Guards against streams that are held back or taken for resumable although
// their events have no ids or are too long.
func TestEventsPassOtherStreamsOn(t *testing.T) {
	for _, stream := range []string{"data: a\n\ndata: b", "x", "", "id: 1\ndata: " + strings.Repeat("x", 40<<10) + "\n\nid: 2\ndata: y\n\n"} {
		g := NewWithT(t)
		events := sse.NewEventReader(strings.NewReader(stream))
		got, err := io.ReadAll(events)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(stream))
		g.Expect(events.LastID()).To(BeEmpty())
	}
}
