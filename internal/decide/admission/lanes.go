package admission

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// noSlot is the index that stands for no slot.
const noSlot = int32(-1)

// slot holds a waiting item. Slots are reused, and they are linked by index rather
// than by pointer so that a full queue adds no work for the garbage collector.
type slot struct {
	item Item
	// latestStart is the last moment at which service may begin.
	latestStart time.Time
	lane        *lane
	// before and after link the slots of a lane; older and newer link the slots
	// of a class.
	before, after, older, newer int32
	// heapIndex is the slot's index in the deadline heap.
	heapIndex int
}

// laneKey identifies a group of items that all fit or all don't fit.
type laneKey struct {
	flowKey
	key     state.ReplicaKey
	adapter state.AdapterName
	long    bool
}

// lane is a first-in-first-out list of the items with the same laneKey. Separate
// lanes keep items that do not fit now from blocking others of the same caller.
type lane struct {
	flow       *flow
	key        laneKey
	head, tail int32
}

// flowKey identifies a flow.
type flowKey struct {
	caller state.CallerName
	class  state.Class
}

// flow holds the items of one caller in a class, for the deficit round robin.
type flow struct {
	weight int
	// deficit is the service time that the flow has been credited with and has
	// not used.
	deficit time.Duration
	// hasFitting reports whether the last scan found an item that can be served.
	hasFitting bool
	lanes      []*lane
}

// classQueue holds the flows of a class and the order in which its items arrived.
type classQueue struct {
	flows []*flow
	// cursor is the index of the flow whose turn it is.
	cursor int
	// newest is the slot of the item that arrived last, or noSlot.
	newest int32
	count  int
	bytes  state.Bytes
	work   time.Duration
	// passedOver is how many items of higher classes were served in a row while
	// this class waited.
	passedOver int
}

func (q *Queue) insert(it Item, allowance time.Duration) {
	index := q.newSlot()
	s := &q.slots[index]
	ln := q.laneOf(it)
	class := &q.classes[it.Class]
	*s = slot{
		item: it, latestStart: it.Deadline.Add(-allowance), lane: ln,
		before: ln.tail, after: noSlot, older: class.newest, newer: noSlot,
	}
	if ln.tail == noSlot {
		ln.head = index
	} else {
		q.slots[ln.tail].after = index
	}
	ln.tail = index
	if class.newest != noSlot {
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

// laneOf returns the lane of an item. It adds the lane and its flow if needed.
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
	ln := &lane{flow: f, key: key, head: noSlot, tail: noSlot}
	f.lanes = append(f.lanes, ln)
	q.lanes[key] = ln
	return ln
}

// take removes a slot's item from the queue, frees the slot and returns the item.
func (q *Queue) take(index int32) Item {
	s := &q.slots[index]
	it := s.item
	class := &q.classes[it.Class]
	ln := s.lane
	if s.before == noSlot {
		ln.head = s.after
	} else {
		q.slots[s.before].after = s.after
	}
	if s.after == noSlot {
		ln.tail = s.before
	} else {
		q.slots[s.after].before = s.before
	}
	if s.older != noSlot {
		q.slots[s.older].newer = s.newer
	}
	if s.newer == noSlot {
		class.newest = s.older
	} else {
		q.slots[s.newer].older = s.older
	}
	q.removeDeadline(s.heapIndex)
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
	if ln.head == noSlot {
		q.dropLane(ln)
	}
	return it
}

// dropLane removes an empty lane, and its flow if that has no other lanes.
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

// chooseSlot returns the slot to serve next in a class, or noSlot. It does deficit
// round robin over the flows with an item that can be served: the flow that needs
// the fewest more rounds of credit for its oldest such item is next, the first
// from the cursor on if several need the same.
func (q *Queue) chooseSlot(class *classQueue, now time.Time, fits func(Item) bool) int32 {
	n := len(class.flows)
	best, bestAt, bestRounds := noSlot, 0, int64(math.MaxInt64)
	for step := range n {
		at := (class.cursor + step) % n
		f := class.flows[at]
		index := q.oldestFitting(f, now, fits)
		f.hasFitting = index != noSlot
		if !f.hasFitting {
			continue
		}
		rounds := q.roundsNeeded(f, q.slots[index].item.Cost)
		if rounds < bestRounds {
			best, bestAt, bestRounds = index, at, rounds
		}
		if rounds == 0 {
			break
		}
	}
	if best == noSlot {
		return noSlot
	}
	if bestRounds > 0 {
		q.addCredit(class, bestRounds)
	}
	class.flows[bestAt].deficit -= q.slots[best].item.Cost
	class.cursor = bestAt
	return best
}

// roundsNeeded returns how many more rounds of credit a flow needs for an item of
// this cost.
func (q *Queue) roundsNeeded(f *flow, cost time.Duration) int64 {
	missing := cost - f.deficit
	if missing <= 0 {
		return 0
	}
	credit := q.cfg.Quantum * time.Duration(f.weight)
	return int64((missing + credit - 1) / credit)
}

// addCredit credits the flows that have an item to serve for a number of rounds.
func (q *Queue) addCredit(class *classQueue, rounds int64) {
	for _, f := range class.flows {
		if f.hasFitting {
			f.deficit += q.cfg.Quantum * time.Duration(int64(f.weight)*rounds)
		}
	}
}

// oldestFitting returns the slot of the flow's item that has waited longest among
// those that fit and can still finish in time, or noSlot.
func (q *Queue) oldestFitting(f *flow, now time.Time, fits func(Item) bool) int32 {
	oldest := noSlot
	for _, ln := range f.lanes {
		index := q.firstUnexpired(ln, now)
		if index == noSlot {
			continue
		}
		s := &q.slots[index]
		if oldest != noSlot && !s.item.Arrived.Before(q.slots[oldest].item.Arrived) {
			continue
		}
		if fits(s.item) {
			oldest = index
		}
	}
	return oldest
}

// firstUnexpired returns the slot of the first item of a lane that can still finish
// in time, or noSlot.
func (q *Queue) firstUnexpired(ln *lane, now time.Time) int32 {
	index := ln.head
	for index != noSlot && !q.slots[index].latestStart.After(now) {
		index = q.slots[index].after
	}
	return index
}
