package admission

// deadlineHeap is a binary heap of slot indices, ordered by the latest moment at
// which service may begin. It doesn't use container/heap, because keeping each
// slot's heapIndex up to date would then cost an allocation per call.
type deadlineHeap []int32

func (q *Queue) earlier(a, b int) bool {
	return q.slots[q.deadlines[a]].latestStart.Before(q.slots[q.deadlines[b]].latestStart)
}

func (q *Queue) swapDeadlines(a, b int) {
	h := q.deadlines
	h[a], h[b] = h[b], h[a]
	q.slots[h[a]].heapIndex = a
	q.slots[h[b]].heapIndex = b
}

func (q *Queue) pushDeadline(index int32) {
	q.deadlines = append(q.deadlines, index)
	at := len(q.deadlines) - 1
	q.slots[index].heapIndex = at
	q.siftUp(at)
}

func (q *Queue) removeDeadline(at int) {
	last := len(q.deadlines) - 1
	if at != last {
		q.swapDeadlines(at, last)
	}
	q.deadlines = q.deadlines[:last]
	if at < last {
		q.siftDown(at)
		q.siftUp(at)
	}
}

func (q *Queue) siftUp(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !q.earlier(at, parent) {
			return
		}
		q.swapDeadlines(at, parent)
		at = parent
	}
}

func (q *Queue) siftDown(at int) {
	for {
		child := 2*at + 1
		if child >= len(q.deadlines) {
			return
		}
		if right := child + 1; right < len(q.deadlines) && q.earlier(right, child) {
			child = right
		}
		if !q.earlier(child, at) {
			return
		}
		q.swapDeadlines(at, child)
		at = child
	}
}
