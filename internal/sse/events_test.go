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

// lineEnds are the line ends that event streams may use.
var lineEnds = []string{"\n", "\r\n", "\r"}

// Guards against an event that reaches the caller twice, in part or whole, or not
// at all, when a stream is resumed after a cut at any byte.
func TestEventsResumeAtAnyCut(t *testing.T) {
	cut := errors.New("cut")
	for _, end := range lineEnds {
		lines := func(text string) string { return strings.ReplaceAll(text, "\n", end) }
		stream := lines("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\ndata: [DONE]\n\n")
		size := len(lines("id: 1\ndata: a\n\n"))
		rest := map[string]string{"": stream, "1": stream[size:], "2": stream[2*size:], "3": stream[3*size:]}
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
				g.Expect(string(first)+string(second)).To(Equal(stream), "line end %q, cut at %d", end, at)
			}
		}
	}
}

// Guards against events that wait for later ones, so that the caller gives up: each is
// returned once it is whole, with any line end.
func TestEventsAreReturnedAsTheyArrive(t *testing.T) {
	for _, end := range lineEnds {
		g := NewWithT(t)
		src := &parts{"id: 1" + end + "data: a" + end + end, "id: 2" + end + end}
		events := sse.NewEventReader(src)
		for len(*src) > 0 {
			event, later := (*src)[0], len(*src)-1
			got := make([]byte, len(event))
			_, err := io.ReadFull(events, got)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal(event))
			g.Expect(*src).To(HaveLen(later), "line end %q", end)
		}
		g.Expect(events.LastID()).To(Equal("2"))
	}
}

// parts is a reader that returns one part at a time.
type parts []string

func (p *parts) Read(b []byte) (int, error) {
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(b, (*p)[0])
	*p = (*p)[1:]
	return n, nil
}

// Guards against text in the middle of a stream, or events that come twice, when a source
// does not continue the stream that it is to resume.
func TestResumeChecksTheFirstEvent(t *testing.T) {
	const begun = "id: 9\ndata: a\n\n"
	for rest, want := range map[string]error{
		"id: 10\ndata: b\n\n":             nil,
		"version: 3\nid: 10\ndata: b\n\n": nil,
		"data: [DONE]\n\n":                nil,
		"":                                nil,
		"id: 9\ndata: a\n\nid: 10\n\n":    sse.ErrNotResumed,
		"error\n\n":                       sse.ErrNotResumed,
		"error":                           sse.ErrNotResumed,
		"\n\nid: 10\ndata: b\n\n":         sse.ErrNotResumed,
		strings.Repeat("x", 80<<10):       sse.ErrNotResumed,
	} {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
			g := NewWithT(t)
			events := sse.NewEventReader(io.MultiReader(strings.NewReader(begun), iotest.ErrReader(errors.New("cut"))))
			_, err := io.ReadAll(events)
			g.Expect(err).To(HaveOccurred())
			events.Resume(wrap(strings.NewReader(rest)))
			got, err := io.ReadAll(events)
			if want != nil {
				g.Expect(err).To(MatchError(want), "%.40q", rest)
				g.Expect(got).To(BeEmpty())
				continue
			}
			g.Expect(err).NotTo(HaveOccurred(), "%.40q", rest)
			g.Expect(string(got)).To(Equal(rest))
		}
	}
}

// Guards against part of an event that is passed on when the body ends as usual within it:
// it would be joined to the same event of the upstream that resumes the stream. Only the end
// mark may lack its empty line.
func TestPartOfAnEventIsNotReturned(t *testing.T) {
	for _, end := range lineEnds {
		lines := func(text string) string { return strings.ReplaceAll(text, "\n", end) }
		const complete = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		begun, event := lines(complete), lines("id: 3\ndata: token\n\n")
		for at := 1; at < len(event); at++ {
			g := NewWithT(t)
			got, err := io.ReadAll(sse.NewEventReader(strings.NewReader(begun + event[:at])))
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "line end %q, cut at %d", end, at)
			g.Expect(string(got)).To(Equal(begun), "line end %q, cut at %d", end, at)
		}
		g := NewWithT(t)
		whole := begun + lines("data: [DONE]\n")
		got, err := io.ReadAll(sse.NewEventReader(strings.NewReader(whole)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(whole))
	}
}

// Guards against a stream that ends as complete without the event in which it was cut, since
// a source that is to resume it has no event, also after another source that did not resume it.
func TestEmptyRestOfACutEvent(t *testing.T) {
	cut := errors.New("cut")
	for _, c := range []struct {
		part  string
		rests []string
		want  error
	}{
		{"", []string{""}, nil},
		{"id: 3\nda", []string{""}, sse.ErrNotResumed},
		{"id: 3\nda", []string{"error\n\n", ""}, sse.ErrNotResumed},
		{"id: 3\nda", []string{"error\n\n", "id: 3\ndata: c\n\n"}, nil},
	} {
		g := NewWithT(t)
		events := sse.NewEventReader(io.MultiReader(strings.NewReader("id: 2\ndata: b\n\n"+c.part), iotest.ErrReader(cut)))
		_, err := io.ReadAll(events)
		g.Expect(err).To(MatchError(cut))
		for _, rest := range c.rests {
			events.Resume(strings.NewReader(rest))
			_, err = io.ReadAll(events)
		}
		if c.want == nil {
			g.Expect(err).NotTo(HaveOccurred(), "%q, then %q", c.part, c.rests)
			continue
		}
		g.Expect(err).To(MatchError(c.want), "%q, then %q", c.part, c.rests)
	}
}

// Guards against delaying streams, or taking them for resumable, although their
// events have no ids or are too long to be buffered.
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

// Guards against an event without an end that is passed on until the caller gives up,
// and against a limit that counts several events as one, wherever reads split them.
func TestLimitEvents(t *testing.T) {
	g := NewWithT(t)
	endless := sse.LimitEvents(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\ndata: "), repeated("x")))
	passed, err := io.Copy(io.Discard, endless)
	g.Expect(err).To(MatchError(sse.ErrEventTooLong))
	g.Expect(passed).To(BeNumerically("<", 2<<20))
	for _, end := range append(lineEnds, "\r\n\n") {
		many := strings.Repeat("data: "+strings.Repeat("y", 1000)+end+end, 3000)
		for _, src := range []io.Reader{strings.NewReader(many), iotest.OneByteReader(strings.NewReader(many))} {
			n, err := io.Copy(io.Discard, sse.LimitEvents(src))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(int64(len(many))), "line end %q", end)
		}
	}
}

// repeated is a reader that returns its text without end.
type repeated string

func (r repeated) Read(p []byte) (int, error) { return copy(p, r), nil }
