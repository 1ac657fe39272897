package admission

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// none is the index of no slot.
const none = int32(-1)

// slot holds an item. Slots are reused, and linked by index rather than by
// pointer so that a full queue adds no work for the garbage collector.
type slot struct {
	item Item
	// latest is the last moment at which service may begin.
	latest time.Time
	lane   *lane
	// before and after link the lane, older and newer the class.
	before, after, older, newer int32
	// heapAt is the slot's place in the deadline heap.
	heapAt int
}

// laneKey names the items that are interchangeable to the fits function.
type laneKey struct {
	flowKey
	key     state.ReplicaKey
	adapter state.AdapterName
	long    bool
}

// lane is a first-in-first-out list of interchangeable items. Separate lanes
// keep items that do not fit now from blocking others of the same caller.
type lane struct {
	flow       *flow
	key        laneKey
	head, tail int32
}

type flowKey struct {
	caller state.CallerName
	class  state.Class
}

// flow is a caller's share of a class.
type flow struct {
	weight  int
	deficit time.Duration
	// fits is the result of the last scan for an item that can be served.
	fits  bool
	lanes []*lane
}

// classQueue holds the flows of a class and the order in which items came.
type classQueue struct {
	flows []*flow
	// cursor is the flow whose turn it is.
	cursor     int
	newest     int32
	count      int
	bytes      state.Bytes
	work       time.Duration
	passedOver int
}

func (q *Queue) insert(it Item, allowance time.Duration) {
	index := q.newSlot()
	s := &q.slots[index]
	ln := q.laneOf(it)
	class := &q.classes[it.Class]
	*s = slot{
		item: it, latest: it.Deadline.Add(-allowance), lane: ln,
		before: ln.tail, after: none, older: class.newest, newer: none,
	}
	if ln.tail == none {
		ln.head = index
	} else {
		q.slots[ln.tail].after = index
	}
	ln.tail = index
	if class.newest != none {
		q.slots[class.newest].newer = index
	}
	class.newest = index
	class.count++
	class.bytes += it.Size
	class.work += it.Cost
	q.byID[it.ID] = index
	q.callers[it.Caller]++
	q.models[it.Key.Model]++
	q.bytes += it.Size
	q.work += it.Cost
	q.pushDeadline(index)
}

func (q *Queue) newSlot() int32 {
	if n := len(q.free); n > 0 {
		index := q.free[n-1]
		q.free = q.free[:n-1]
		return index
	}
	q.slots = append(q.slots, slot{})
	return int32(len(q.slots) - 1)
}

func (q *Queue) laneOf(it Item) *lane {
	fk := flowKey{caller: it.Caller, class: it.Class}
	key := laneKey{flowKey: fk, key: it.Key, adapter: it.Adapter, long: it.Long}
	if ln, ok := q.lanes[key]; ok {
		ln.flow.weight = it.Weight
		return ln
	}
	f, ok := q.flows[fk]
	if !ok {
		f = &flow{}
		q.flows[fk] = f
		class := &q.classes[it.Class]
		class.flows = append(class.flows, f)
	}
	f.weight = it.Weight
	ln := &lane{flow: f, key: key, head: none, tail: none}
	f.lanes = append(f.lanes, ln)
	q.lanes[key] = ln
	return ln
}

// take removes a slot from all lists and returns its item.
func (q *Queue) take(index int32) Item {
	s := &q.slots[index]
	it := s.item
	class := &q.classes[it.Class]
	ln := s.lane
	if s.before == none {
		ln.head = s.after
	} else {
		q.slots[s.before].after = s.after
	}
	if s.after == none {
		ln.tail = s.before
	} else {
		q.slots[s.after].before = s.before
	}
	if s.older != none {
		q.slots[s.older].newer = s.newer
	}
	if s.newer == none {
		class.newest = s.older
	} else {
		q.slots[s.newer].older = s.older
	}
	q.removeDeadline(s.heapAt)
	class.count--
	class.bytes -= it.Size
	class.work -= it.Cost
	if class.count == 0 {
		class.passedOver = 0
	}
	decrement(q.callers, it.Caller)
	decrement(q.models, it.Key.Model)
	q.bytes -= it.Size
	q.work -= it.Cost
	delete(q.byID, it.ID)
	*s = slot{}
	q.free = append(q.free, index)
	if ln.head == none {
		q.dropLane(ln)
	}
	return it
}

func (q *Queue) dropLane(ln *lane) {
	f := ln.flow
	delete(q.lanes, ln.key)
	for i, other := range f.lanes {
		if other == ln {
			f.lanes = append(f.lanes[:i], f.lanes[i+1:]...)
			break
		}
	}
	if len(f.lanes) > 0 {
		return
	}
	delete(q.flows, ln.key.flowKey)
	class := &q.classes[ln.key.class]
	for i, other := range class.flows {
		if other != f {
			continue
		}
		class.flows = append(class.flows[:i], class.flows[i+1:]...)
		if class.cursor > i {
			class.cursor--
		}
		break
	}
}

// choose returns the slot to serve next in a class, or none. It does deficit
// round robin over the flows whose oldest fitting item can be served: the one
// that needs the fewest further rounds of credit is next, from the cursor on.
func (q *Queue) choose(class *classQueue, now time.Time, fits func(Item) bool) int32 {
	n := len(class.flows)
	best, bestAt, bestRounds := none, 0, int64(math.MaxInt64)
	for step := range n {
		at := (class.cursor + step) % n
		f := class.flows[at]
		index := q.oldestFitting(f, now, fits)
		f.fits = index != none
		if !f.fits {
			continue
		}
		rounds := q.rounds(f, q.slots[index].item.Cost)
		if rounds < bestRounds {
			best, bestAt, bestRounds = index, at, rounds
		}
		if rounds == 0 {
			break
		}
	}
	if best == none {
		return none
	}
	if bestRounds > 0 {
		q.credit(class, bestRounds)
	}
	class.flows[bestAt].deficit -= q.slots[best].item.Cost
	class.cursor = bestAt
	return best
}

func (q *Queue) rounds(f *flow, cost time.Duration) int64 {
	missing := cost - f.deficit
	if missing <= 0 {
		return 0
	}
	credit := q.cfg.Quantum * time.Duration(f.weight)
	return int64((missing + credit - 1) / credit)
}

// credit gives the flows that can be served now their credit of some rounds.
func (q *Queue) credit(class *classQueue, rounds int64) {
	for _, f := range class.flows {
		if f.fits {
			f.deficit += q.cfg.Quantum * time.Duration(int64(f.weight)*rounds)
		}
	}
}

// oldestFitting returns the longest waiting head among the lanes of a flow
// that fits and is not past its deadline.
func (q *Queue) oldestFitting(f *flow, now time.Time, fits func(Item) bool) int32 {
	oldest := none
	for _, ln := range f.lanes {
		index := q.liveHead(ln, now)
		if index == none {
			continue
		}
		s := &q.slots[index]
		if oldest != none && !s.item.Arrived.Before(q.slots[oldest].item.Arrived) {
			continue
		}
		if fits(s.item) {
			oldest = index
		}
	}
	return oldest
}

// liveHead returns the first item of a lane that can still finish in time.
func (q *Queue) liveHead(ln *lane, now time.Time) int32 {
	index := ln.head
	for index != none && !q.slots[index].latest.After(now) {
		index = q.slots[index].after
	}
	return index
}
