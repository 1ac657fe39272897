package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// anyItem is a fits function to which each item fits.
func anyItem(admission.Item) bool { return true }

func item(id uint64, caller string, class state.Class, cost time.Duration) admission.Item {
	return admission.Item{
		ID: id, Caller: state.CallerName(caller), Weight: 1, Class: class,
		Arrived: epoch, Deadline: epoch.Add(time.Hour), Cost: cost,
	}
}

// drawItem draws a random item. Items with higher ids must be drawn later.
func drawItem(t *rapid.T, id uint64, now time.Time) admission.Item {
	cost := time.Duration(rapid.IntRange(0, 400).Draw(t, "cost")) * time.Millisecond
	return admission.Item{
		ID:       id,
		Caller:   state.CallerName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")),
		Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
		Class:    state.Class(rapid.IntRange(0, state.ClassCount-1).Draw(t, "class")),
		Arrived:  now,
		Deadline: now.Add(time.Duration(rapid.SampledFrom([]int{-1, 100, 1000, 5000, 60000, 60000}).Draw(t, "slack")) * time.Millisecond),
		Cost:     cost,
		Long:     rapid.Bool().Draw(t, "long"),
		Size:     state.Bytes(rapid.SampledFrom([]int{0, 10, 20, 60}).Draw(t, "size")),
		Key:      state.ReplicaKey{Model: state.ModelName(rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"))},
	}
}

// referenceList is a simple reference implementation of the set of waiting
// items, with which the queue must agree.
type referenceList struct {
	items map[uint64]admission.Item
	bytes state.Bytes
}

func (n *referenceList) take(t *rapid.T, it admission.Item, what string) {
	if _, ok := n.items[it.ID]; !ok {
		t.Fatalf("%s returned %d, which is not waiting", what, it.ID)
	}
	delete(n.items, it.ID)
	n.bytes -= it.Size
}

func (n *referenceList) count(match func(admission.Item) bool) int {
	total := 0
	for _, it := range n.items {
		if match(it) {
			total++
		}
	}
	return total
}

// Guards, for any order of calls, against lost or duplicated items, items
// served too late, exceeded limits, shedding of the wrong item, and a Next that
// finds no item although one could be served.
func TestQueueMatchesReferenceList(t *testing.T) {
	cfg := admission.Config{MaxRequests: 5, MaxBytes: 110, MaxPerCaller: 3, MaxPerModel: 4, StarvationBound: 3, Concurrency: 4, CostFactor: 1}
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(cfg)
		model := &referenceList{items: make(map[uint64]admission.Item)}
		now := epoch
		var id uint64
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "offers") {
					id++
					it := drawItem(t, id, now)
					shed, refusal := q.Offer(now, it, 0)
					checkOffer(t, cfg, model, it, shed, refusal)
				}
			},
			"next": func(t *rapid.T) {
				onlyShort := rapid.Bool().Draw(t, "only short")
				fits := func(it admission.Item) bool { return !onlyShort || !it.Long }
				live := func(it admission.Item) bool { return fits(it) && it.Deadline.Add(-it.Cost).After(now) }
				candidates := model.count(live)
				it, ok := q.Next(now, fits)
				if ok != (candidates > 0) {
					t.Fatalf("next found an item: %v, with %d candidates", ok, candidates)
				}
				if ok {
					if !live(it) {
						t.Fatalf("served %d, which is late or does not fit", it.ID)
					}
					model.take(t, it, "next")
				}
			},
			"remove": func(t *rapid.T) {
				victim := uint64(rapid.IntRange(0, int(id)).Draw(t, "id"))
				it, waiting := model.items[victim]
				if q.Remove(victim) != waiting {
					t.Fatalf("remove %d: waiting is %v", victim, waiting)
				}
				if waiting {
					model.take(t, it, "remove")
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "step")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * time.Millisecond)
				for _, it := range q.Expire(now) {
					if it.Deadline.Add(-it.Cost).After(now) {
						t.Fatalf("expired %d too early", it.ID)
					}
					model.take(t, it, "expire")
				}
				if late := model.count(func(it admission.Item) bool { return !it.Deadline.Add(-it.Cost).After(now) }); late > 0 {
					t.Fatalf("%d items past their latest start remain", late)
				}
			},
			"": func(t *rapid.T) { checkCounts(t, q, model) },
		})
	})
}

// checkOffer checks the result of an Offer against the model and applies it there.
func checkOffer(t *rapid.T, cfg admission.Config, model *referenceList, it admission.Item, shed []admission.Item, refusal *verdict.Verdict) {
	if refusal != nil {
		if len(shed) > 0 || refusal.Execution != verdict.NotRun {
			t.Fatalf("refusal %v with %d items shed, want NotRun and none", refusal, len(shed))
		}
		return
	}
	for _, victim := range shed {
		newer := model.count(func(o admission.Item) bool {
			return o.Class > victim.Class || o.Class == victim.Class && o.ID > victim.ID
		})
		if victim.Class <= it.Class || newer > 0 {
			t.Fatalf("shed %d of class %s for class %s with %d later candidates", victim.ID, victim.Class, it.Class, newer)
		}
		model.take(t, victim, "shed")
	}
	model.items[it.ID] = it
	model.bytes += it.Size
	perCaller := model.count(func(o admission.Item) bool { return o.Caller == it.Caller })
	perModel := model.count(func(o admission.Item) bool { return o.Key == it.Key })
	if len(model.items) > cfg.MaxRequests || model.bytes > cfg.MaxBytes ||
		perCaller > cfg.MaxPerCaller || perModel > cfg.MaxPerModel {
		t.Fatalf("limits exceeded: %d items, %d bytes, %d of caller, %d of model", len(model.items), model.bytes, perCaller, perModel)
	}
}

// checkCounts compares the queue's totals with those of the model.
func checkCounts(t *rapid.T, q *admission.Queue, model *referenceList) {
	var work time.Duration
	var waiting [state.ClassCount]int
	for _, it := range model.items {
		work += it.Cost
		waiting[it.Class]++
	}
	if q.Len() != len(model.items) || q.Work() != work || q.Waiting() != waiting {
		t.Fatalf("len %d work %v waiting %v, want %d %v %v", q.Len(), q.Work(), q.Waiting(), len(model.items), work, waiting)
	}
}

// Guards against a class that waits for ever while a higher one always has items.
func TestLowClassIsServedWithinStarvationBound(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue(admission.Config{StarvationBound: 5})
	_, refusal := q.Offer(epoch, item(1, "low", state.ClassLow, time.Millisecond), 0)
	g.Expect(refusal).To(BeNil())
	for id := uint64(2); id < 20; id++ {
		_, refusal = q.Offer(epoch, item(id, "high", state.ClassHigh, time.Millisecond), 0)
		g.Expect(refusal).To(BeNil())
	}
	for served := 0; ; served++ {
		it, ok := q.Next(epoch, anyItem)
		g.Expect(ok).To(BeTrue())
		if it.Class == state.ClassLow {
			g.Expect(served).To(Equal(5))
			return
		}
	}
}

// Guards against a caller that gets more than its weighted share of service time
// by sending more or costlier requests.
func TestCallersShareServiceTimeByWeight(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue(admission.Config{MaxRequests: 4000})
	costs := map[string]time.Duration{"cheap": 10 * time.Millisecond, "dear": 900 * time.Millisecond, "heavy": 40 * time.Millisecond}
	weights := map[string]int{"cheap": 1, "dear": 1, "heavy": 2}
	var id uint64
	for _, caller := range []string{"cheap", "dear", "heavy"} {
		for range 1200 {
			id++
			it := item(id, caller, state.ClassNormal, costs[caller])
			it.Weight = weights[caller]
			_, refusal := q.Offer(epoch, it, 0)
			g.Expect(refusal).To(BeNil())
		}
	}
	got := make(map[string]time.Duration)
	for got["cheap"] < 9*time.Second {
		it, _ := q.Next(epoch, anyItem)
		got[string(it.Caller)] += it.Cost
	}
	g.Expect(got["dear"]).To(BeNumerically("~", 9*time.Second, time.Second))
	g.Expect(got["heavy"]).To(BeNumerically("~", 18*time.Second, time.Second))
}

// Guards against admission of work that will be late because of the queue ahead of
// it or the load of its model, and against refusals that make all callers retry at
// the same moment.
func TestRefusesEarlyWithSpreadRetryAfter(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue(admission.Config{Concurrency: 2, CostFactor: 1})
	late := item(1, "a", state.ClassNormal, time.Second)
	late.Deadline = epoch.Add(3 * time.Second)
	_, refusal := q.Offer(epoch, late, 2*time.Second)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonDeadlineUnmet))
	spread := make(map[time.Duration]bool)
	for id := uint64(10); id < 20; id++ {
		it := late
		it.ID = id
		_, refusal = q.Offer(epoch, it, 0)
		if refusal != nil {
			g.Expect(refusal.RetryAfter).To(BeNumerically(">=", 500*time.Millisecond))
			spread[refusal.RetryAfter] = true
		}
	}
	g.Expect(q.Len()).To(Equal(4), "a concurrency of two finishes four seconds of work within the deadline")
	g.Expect(len(spread)).To(Equal(6))
}

// Guards against work that is admitted or served although only its predicted cost,
// and not CostFactor times that, fits before the deadline.
func TestCostFactorReservesTimeBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue(admission.Config{CostFactor: 2})
	it := item(1, "a", state.ClassNormal, time.Second)
	it.Deadline = epoch.Add(5 * time.Second)
	_, refusal := q.Offer(epoch, it, 3*time.Second)
	g.Expect(refusal).NotTo(BeNil())
	_, refusal = q.Offer(epoch, it, 2*time.Second)
	g.Expect(refusal).To(BeNil())
	_, ok := q.Next(epoch.Add(3*time.Second), anyItem)
	g.Expect(ok).To(BeFalse())
	g.Expect(q.Expire(epoch.Add(3 * time.Second))).To(HaveLen(1))
}

// filledQueue returns a queue with n items of several callers and all classes.
func filledQueue(b *testing.B, n, callers int) *admission.Queue {
	q := admission.NewQueue(admission.Config{MaxRequests: n + 1})
	for i := range n {
		it := item(uint64(i), fmt.Sprintf("caller-%d", i%callers), state.Class(i%state.ClassCount), 100*time.Millisecond)
		it.Deadline = epoch.Add(1000 * time.Hour)
		if _, refusal := q.Offer(epoch, it, 0); refusal != nil {
			b.Fatal(refusal)
		}
	}
	return q
}

// BenchmarkAdmission measures an Offer and a Next by the number of waiting items.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{0, 16, 256, 4096} {
		b.Run(fmt.Sprintf("queue=%d", n), func(b *testing.B) {
			q := filledQueue(b, n, 32)
			b.ReportAllocs()
			id := uint64(n)
			for b.Loop() {
				id++
				it := item(id, "caller-7", state.Class(id%state.ClassCount), 100*time.Millisecond)
				it.Deadline = epoch.Add(1000 * time.Hour)
				if _, refusal := q.Offer(epoch, it, 0); refusal != nil {
					b.Fatal(refusal)
				}
				if _, ok := q.Next(epoch, anyItem); !ok {
					b.Fatal("nothing to serve")
				}
			}
		})
	}
}
