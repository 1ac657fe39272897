package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// heldBody yields its text and then waits for the end of the request.
type heldBody struct {
	io.Reader
	ctx context.Context
}

func (b *heldBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// Guards against an answer that counts as lost because its caller closes the
// connection at the last event or byte, and against one that counts as served
// although the caller left before.
func TestCallerLeavesAtTheEnd(t *testing.T) {
	const events, plain = "text/event-stream", "text/plain"
	cases := map[string]struct {
		content string
		length  int64
		text    string
		want    verdict.Reason
	}{
		"after the last event":  {events, -1, "data: t1\n\ndata: [DONE]\n\n", verdict.ReasonOK},
		"before the last event": {events, -1, "data: t1\n\n", verdict.ReasonCallerGone},
		"mark in the text":      {events, -1, "data: {\"text\": \"data: [DONE]\"}\n\n", verdict.ReasonCallerGone},
		"mark in other content": {plain, -1, "data: [DONE]\n\n", verdict.ReasonCallerGone},
		"after the last byte":   {plain, 4, "text", verdict.ReasonOK},
		"before the last byte":  {plain, 5, "text", verdict.ReasonCallerGone},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			held := func(r *http.Request) (*http.Response, error) {
				resp := reply(http.StatusOK, nil, &heldBody{strings.NewReader(c.text), r.Context()})
				resp.Header.Set("Content-Type", c.content)
				resp.ContentLength = c.length
				return resp, nil
			}
			b := newGatewayBench(t, agentsOf(answers{"a": held}), "a")
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			_, err := b.send(ctx, true, nil)
			if c.want == verdict.ReasonOK {
				g.Expect(err).NotTo(HaveOccurred(), name)
			} else {
				g.Expect(err).To(MatchError(http.ErrAbortHandler), name)
			}
			g.Expect(b.sink.verdicts).To(HaveLen(1), name)
			g.Expect(b.sink.verdicts[0].Reason).To(Equal(c.want), name)
		})
	}
}
