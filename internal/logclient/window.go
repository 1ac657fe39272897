package logclient

import (
	"sort"
	"sync"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxPageBytes bounds the records of a page that a relay answers.
const maxPageBytes = 1 << 20

// window holds the recent records of a stream. Readers get slices of records;
// an element is never changed once it was appended.
type window struct {
	maxRecords int
	maxBytes   int

	mu      sync.RWMutex
	records []state.StoredRecord
	bytes   int
	// start and next bound the offsets that the window covers; it covers
	// none until ready.
	start state.Offset
	next  state.Offset
	ready bool
	// oldest and end are what the log last said.
	oldest state.Offset
	end    state.Offset
	// changed is closed and replaced when next grows.
	changed chan struct{}
}

func newWindow(maxRecords, maxBytes int) *window {
	return &window{maxRecords: maxRecords, maxBytes: maxBytes, changed: make(chan struct{})}
}

// reset empties the window and lets it start at from.
func (w *window) reset(from state.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = nil
	w.bytes = 0
	w.start, w.next = from, from
	w.oldest, w.end = from, from
	w.ready = true
	w.wake()
}

// add appends a page that starts where the window ends.
func (w *window) add(page platform.Page) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.oldest, w.end = page.Oldest, page.End
	if page.Next == w.next {
		return nil
	}
	w.records = append(w.records, page.Records...)
	w.bytes += sizeOfPositioned(page.Records)
	w.next = page.Next
	w.trim()
	w.wake()
	return nil
}

// trim drops the oldest records beyond the bounds. The array behind them is
// freed when append next grows the slice.
func (w *window) trim() {
	drop := 0
	for drop < len(w.records) && (len(w.records)-drop > w.maxRecords || w.bytes > w.maxBytes) {
		w.bytes -= sizeOfOne(&w.records[drop])
		drop++
	}
	if drop == 0 {
		return
	}
	w.start = w.records[drop-1].Offset + 1
	w.records = w.records[drop:]
}

func (w *window) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// read returns the page at from; covered is false if the window does not have
// it. An empty page comes with the channel that tells of the next change.
func (w *window) read(from state.Offset, limit int) (page platform.Page, changed chan struct{}, covered bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if !w.ready || from < w.start {
		return platform.Page{}, nil, false
	}
	page = platform.Page{From: from, Oldest: w.oldest, Next: max(from, w.next), End: w.end}
	if limit <= 0 {
		limit = maxRelayLimit
	}
	first := sort.Search(len(w.records), func(i int) bool { return w.records[i].Offset >= from })
	stop := w.stop(first, limit)
	if stop < len(w.records) {
		page.Next = w.records[stop].Offset
	}
	page.Records = w.records[first:stop:stop]
	return page, w.changed, true
}

// stop returns the end of the page that begins at first.
func (w *window) stop(first, limit int) int {
	bytes := 0
	stop := first
	for stop < len(w.records) && stop-first < limit {
		bytes += sizeOfOne(&w.records[stop])
		if stop > first && bytes > maxPageBytes {
			break
		}
		stop++
	}
	return stop
}

func sizeOfOne(record *state.StoredRecord) int { return len(record.Body) + recordOverhead }

func sizeOfPositioned(records []state.StoredRecord) int {
	size := 0
	for i := range records {
		size += sizeOfOne(&records[i])
	}
	return size
}
