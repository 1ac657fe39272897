package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	streamHead = "id: 1\ndata: a\n\n"
	streamRest = "id: 2\ndata: b\n\ndata: [DONE]\n\n"
)

// events answers with an event stream after the event with id last, which ends
// with err.
func events(text, last string, err error) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		body := io.Reader(strings.NewReader(text))
		if err != nil {
			body = io.MultiReader(body, iotest.ErrReader(err))
		}
		response := reply(http.StatusOK, nil, body)
		response.Header.Set("Content-Type", "text/event-stream")
		if last != "" {
			response.Header.Set(sse.HeaderLastEventID, last)
		}
		return response, nil
	}
}

// Guards against streams that end with their agent although the engine keeps
// them, events that the caller gets twice or not at all, and a second run: by
// an engine that does not resume, or of work that may not be repeated.
func TestCutStreamIsResumed(t *testing.T) {
	cut := errors.New("connection reset")
	for name, c := range map[string]struct {
		claimed, whole bool
		next           []func(*http.Request) (*http.Response, error)
		calls          int
	}{
		"agent comes back": {whole: true, calls: 5, next: []func(*http.Request) (*http.Response, error){
			broken, refused(verdict.ReasonNoReplica), events("id: 2\nda", "1", cut), events(streamRest, "1", nil),
		}},
		"engine lost the stream": {calls: 2, next: []func(*http.Request) (*http.Response, error){func(*http.Request) (*http.Response, error) {
			return reply(http.StatusGone, nil, strings.NewReader("gone")), nil
		}}},
		"engine begins again": {calls: 2, next: []func(*http.Request) (*http.Response, error){events(streamHead+streamRest, "", nil)}},
		"claimed":             {claimed: true, calls: 1, next: []func(*http.Request) (*http.Response, error){events(streamRest, "1", nil)}},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			answer := inTurn(append([]func(*http.Request) (*http.Response, error){events(streamHead+"id: 2\nda", "", cut)}, c.next...)...)
			agents := agentsOf(answers{"a": answer})
			b := newGatewayBench(t, agents, "a")
			got, err := b.send(t.Context(), !c.claimed, func(r *request) { r.stream = true })
			g.Expect(agents.calls).To(HaveLen(c.calls), name)
			if !c.whole {
				g.Expect(err).To(MatchError(http.ErrAbortHandler), name)
				g.Expect(got.Body.String()).To(Equal(streamHead), name)
				return
			}
			g.Expect(err).NotTo(HaveOccurred(), name)
			g.Expect(got.Body.String()).To(Equal(streamHead+streamRest), name)
			g.Expect(b.sink.heard[string(telemetry.ResumeDone)]).To(Equal(2), name)
		})
	}
}

// cutByAgent answers with an event stream that its agent has found to be cut: the body ends
// as usual, and the trailer says that it is not whole.
func cutByAgent(text, last string) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		response, err := events(text, last, nil)(r)
		verdict.Unknown(verdict.ReasonStreamCut, "test").SetHeaders(response.Trailer)
		return response, err
	}
}

// Guards against an event whose first part the caller gets twice, or that is joined from two
// runs, when the agent ends the body of a cut stream as usual: cut at each byte, in the first
// response and in one that resumes it.
func TestStreamCutByItsAgentIsResumed(t *testing.T) {
	const event = "id: 2\ndata: b\n\n"
	for at := range len(event) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			agents := agentsOf(answers{"a": inTurn(cutByAgent(streamHead+event[:at], ""), cutByAgent(event[:at], "1"), events(streamRest, "1", nil))})
			b := newGatewayBench(t, agents, "a")
			got, err := b.send(t.Context(), true, func(r *request) { r.stream = true })
			g.Expect(err).NotTo(HaveOccurred(), "cut at %d", at)
			g.Expect(got.Body.String()).To(Equal(streamHead+streamRest), "cut at %d", at)
		})
	}
}
