package forward_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against an earlier refusal that an upstream writes once more on a kept connection
// and that is taken for the refusal of the request that it runs now: callers were told
// "not run", or the request was sent to a second upstream. With the earlier request's id it
// is skipped; without an id nothing tells whose it is.
func TestRepeatedRefusalIsNotThatOfTheNextRequest(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	for name, c := range map[string]struct {
		refusal string
		skipped bool
	}{
		"with the id of the earlier request": {head + "Id: 1\r\n\r\n", true},
		"without an id":                      {head + "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := serve(t, sendText(head+"Id: 1\r\n\r\n"), sendText(c.refusal+response("2", "ran")))
			client := forward.NewClient(dialect{})
			first, err := client.Send(context.Background(), u.Upstream, request("1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first.Info.NotRun).To(BeTrue())
			_, err = read(t, first)
			g.Expect(err).NotTo(HaveOccurred())
			second, err := client.Send(context.Background(), u.Upstream, request("2"))
			g.Expect(u.conns.Load()).To(Equal(int32(1)), "the connection must be kept")
			if !c.skipped {
				g.Expect(verdict.Of(err)).NotTo(BeNil())
				g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read(t, second)).To(Equal("ran"))
		})
	}
}

// Guards against a request without an id for which an answer on a kept connection counts
// as a proof that it has not run.
func TestRefusalOfARequestWithoutID(t *testing.T) {
	g := NewWithT(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	u := serve(t, sendText(refusal), sendText(refusal))
	client := forward.NewClient(dialect{})
	first, err := client.Send(context.Background(), u.Upstream, request(""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Info.NotRun).To(BeTrue())
	_, err = read(t, first)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Send(context.Background(), u.Upstream, request(""))
	g.Expect(u.conns.Load()).To(Equal(int32(1)))
	g.Expect(verdict.Of(err)).NotTo(BeNil())
	g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
}
