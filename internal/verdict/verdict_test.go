package verdict_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func TestVerdict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Verdict")
}

var _ = Describe("Verdict", func() {
	// Guards against an unclassified error being reported as not run.
	It("takes an unclassified error as one whose work may have run", func() {
		Expect(verdict.Of(errors.New("broken")).Execution).To(Equal(verdict.MayHaveRun))
		var zero verdict.Verdict
		Expect(zero.Execution).To(Equal(verdict.MayHaveRun))
	})

	// Guards against a verdict changing on its way through HTTP headers.
	It("survives HTTP headers", func() {
		sent := verdict.Refuse(verdict.ReasonQueueFull, "full").WithRetryAfter(1500 * time.Millisecond)
		rec := httptest.NewRecorder()
		sent.WriteHTTP(rec)
		got, ok := verdict.FromHeaders(rec.Header())
		Expect(ok).To(BeTrue())
		Expect(got.Execution).To(Equal(verdict.NotRun))
		Expect(got.Reason).To(Equal(verdict.ReasonQueueFull))
		Expect(got.RetryAfter).To(Equal(2 * time.Second))
	})

	// Guards against a reason that answers with the default status.
	It("has a status for every reason", func() {
		for _, r := range verdict.Reasons() {
			Expect(r.HTTPStatus()).To(BeNumerically(">=", 200), string(r))
			Expect(r.Known()).To(BeTrue())
		}
	})
})
