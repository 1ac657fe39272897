package verdict_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against reporting NotRun for an error without a verdict, or for a verdict
// whose execution was never set: the work would be run twice.
func TestUnclassifiedErrorMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	g.Expect(verdict.Of(errors.New("broken")).Execution).To(Equal(verdict.MayHaveRun))
	var zero verdict.Verdict
	g.Expect(zero.Execution).To(Equal(verdict.MayHaveRun))
}

// Guards against a verdict that is changed by writing it to HTTP headers and reading
// it back.
func TestVerdictSurvivesHTTP(t *testing.T) {
	g := NewWithT(t)
	sent := verdict.Refuse(verdict.ReasonQueueFull, "full").WithRetryAfter(1500 * time.Millisecond)
	rec := httptest.NewRecorder()
	sent.WriteHTTP(rec)
	got, ok := verdict.FromHeaders(rec.Header())
	g.Expect(ok).To(BeTrue())
	g.Expect(got.Execution).To(Equal(verdict.NotRun))
	g.Expect(got.Reason).To(Equal(verdict.ReasonQueueFull))
	g.Expect(got.RetryAfter).To(Equal(2 * time.Second))
}

// Guards against a reason without a valid HTTP status.
func TestEveryReasonHasStatus(t *testing.T) {
	g := NewWithT(t)
	for _, r := range verdict.Reasons() {
		g.Expect(r.HTTPStatus()).To(BeNumerically(">=", 200), string(r))
		g.Expect(r.Known()).To(BeTrue())
	}
}
