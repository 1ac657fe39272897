package entry

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a planned stop that does not wait for a request which entered
// just before it, and against requests that enter after it.
func TestInFlightIsEmptyOnceItHasEnded(t *testing.T) {
	g := NewWithT(t)
	for range 200 {
		var f inFlight
		var running atomic.Int32
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for f.enter() {
					running.Add(1)
					running.Add(-1)
					f.leave()
				}
			})
		}
		<-f.close()
		g.Expect(running.Load()).To(BeZero())
		g.Expect(f.enter()).To(BeFalse())
		group.Wait()
	}
	var held inFlight
	g.Expect(held.enter()).To(BeTrue())
	empty := held.close()
	g.Expect(empty).NotTo(BeClosed())
	held.leave()
	g.Expect(empty).To(BeClosed())
}
