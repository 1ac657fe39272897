package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
)

// Guards against answers sent just before the deadline that reach the caller too
// late, and against a reserve that takes most of a short deadline or changes one
// that has passed.
func TestAnswerByLeavesTimeToReachCaller(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	reserve := func(patience time.Duration) time.Duration {
		deadline := now.Add(patience)
		return deadline.Sub(admission.AnswerBy(now, deadline))
	}
	g.Expect(reserve(5 * time.Second)).To(Equal(50 * time.Millisecond))
	g.Expect(reserve(100 * time.Millisecond)).To(Equal(10 * time.Millisecond))
	g.Expect(reserve(-time.Second)).To(BeZero())
}
