package selection_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
)

// Guards against a backlog that never drains, and against a single wrong report that
// keeps an upstream out of use for long.
func TestBacklogDrains(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var b selection.Backlog
	g.Expect(b.Remaining(now)).To(BeZero())
	b.Add(300*time.Millisecond, now)
	b.Add(200*time.Millisecond, now.Add(100*time.Millisecond))
	g.Expect(b.Remaining(now.Add(100 * time.Millisecond))).To(Equal(400 * time.Millisecond))
	g.Expect(b.Remaining(now.Add(time.Second))).To(BeZero())
	b.Add(time.Hour, now.Add(time.Second))
	g.Expect(b.Remaining(now.Add(6 * time.Second))).To(BeZero())
	b.Add(-time.Hour, now.Add(6*time.Second))
	g.Expect(b.Remaining(now.Add(6 * time.Second))).To(BeZero())
}

// Guards against gateways that all send their long prompts to the same replica when
// several arrive at the same moment: in a run of a day's traffic, up to seven were at
// one engine while other replicas were idle. Gateways that report their prompts to each
// other must have a shorter longest queue than gateways that don't.
func TestSharedBacklogsSpreadLongPrompts(t *testing.T) {
	g := NewWithT(t)
	const gateways, replicas, requests = 6, 4, 12
	longest := func(reporting bool) time.Duration {
		now := time.Unix(1000, 0)
		own := make([][]time.Duration, gateways)
		others := make([][]selection.Backlog, gateways)
		for i := range gateways {
			own[i], others[i] = make([]time.Duration, replicas), make([]selection.Backlog, replicas)
		}
		total := make([]time.Duration, replicas)
		cfg := selection.DefaultConfig()
		for n := range requests {
			at := n % gateways
			candidates := make([]selection.Candidate, replicas)
			for r := range candidates {
				candidates[r] = selection.Candidate{Hash: uint64(r+1) * 0x9e3779b97f4a7c15, PendingPrefill: own[at][r] + others[at][r].Remaining(now)}
			}
			chosen := cfg.Select(candidates, selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 8000})
			work := 8000 * cfg.PrefillPerToken
			own[at][chosen] += work
			total[chosen] += work
			for other := range gateways {
				if reporting && other != at {
					others[other][chosen].Add(work, now)
				}
			}
		}
		most := time.Duration(0)
		for _, d := range total {
			most = max(most, d)
		}
		return most
	}
	alone, together := longest(false), longest(true)
	g.Expect(together).To(BeNumerically("<=", 4*8000*selection.DefaultConfig().PrefillPerToken))
	g.Expect(together).To(BeNumerically("<", alone))
}
