package entry

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that are counted twice, as sent and in the report,
// against some that stay counted after their end, and against an old report
// that keeps a replica out of use.
func TestUpstreamLoadCountsEachRequestOnce(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	load := &upstreamLoad{}
	seen := func(after time.Duration) []int {
		queue, sent := load.now(start.Add(after), 4, time.Second)
		return []int{queue, sent}
	}
	first, second := load.begin(), load.begin()
	g.Expect(seen(0)).To(Equal([]int{0, 2}))
	load.report(start, http.Header{headerLoad: {"queue=6 running=4"}})
	g.Expect(seen(0)).To(Equal([]int{10, 0}), "the report includes both")
	third := load.begin()
	load.end(first)
	load.end(second)
	g.Expect(seen(0)).To(Equal([]int{8, 1}))
	g.Expect(seen(2*time.Second)).To(Equal([]int{4, 1}), "four slots have served four in the second after the first")
	load.end(third)
	g.Expect(seen(time.Minute)).To(Equal([]int{0, 0}))
	load.report(start, http.Header{headerLoad: {"nonsense"}})
	g.Expect(seen(0)).To(Equal([]int{8, 0}))
}
