package agent

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a slow upstream that is noticed only after its late tokens,
// and against a factor that overdue tokens hold down.
func TestPaceNoticesOverdueTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var p pace
		serve := func(first time.Duration) {
			arrived, _ := p.firstToken(100)
			time.Sleep(first)
			arrived()
		}
		for range 50 {
			serve(100 * time.Millisecond)
		}
		g.Expect(p.factor()).To(Equal(1.0))
		for range 12 {
			_, abandoned := p.firstToken(100)
			time.Sleep(time.Second)
			abandoned()
		}
		g.Expect(p.factor()).To(BeNumerically(">", 5))
		for range 50 {
			serve(100 * time.Millisecond)
		}
		g.Expect(p.factor()).To(Equal(1.0))
	})
}
