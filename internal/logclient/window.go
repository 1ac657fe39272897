package logclient

import (
	"sort"
	"sync"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxPageBytes is the maximum size of a page that is read from a window. A page
// with a single larger record may exceed it.
const maxPageBytes = 1 << 20

// window holds the most recent records of a stream. Readers get subslices of
// records without a copy, so elements must not be changed once appended.
type window struct {
	maxRecords int
	maxBytes   int

	mu      sync.RWMutex
	records []state.StoredRecord
	bytes   int
	// start and next are the first offset that the window covers and the one
	// after its last. Before the first reset ready is false and the window
	// covers no offsets.
	start state.Offset
	next  state.Offset
	ready bool
	// oldest and end are the bounds of the stream that the log last reported.
	oldest state.Offset
	end    state.Offset
	// changed is closed and replaced when next changes.
	changed chan struct{}
}

func newWindow(maxRecords, maxBytes int) *window {
	return &window{maxRecords: maxRecords, maxBytes: maxBytes, changed: make(chan struct{})}
}

// reset empties the window and makes from its first offset.
func (w *window) reset(from state.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = nil
	w.bytes = 0
	w.start, w.next = from, from
	w.oldest, w.end = from, from
	w.ready = true
	w.notifyReaders()
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
	w.notifyReaders()
	return nil
}

// trim drops the oldest records until the window is within its bounds. Their
// memory is released when append next reallocates the underlying array.
func (w *window) trim() {
	drop := 0
	for drop < len(w.records) && (len(w.records)-drop > w.maxRecords || w.bytes > w.maxBytes) {
		w.bytes -= sizeOfRecord(&w.records[drop])
		drop++
	}
	if drop == 0 {
		return
	}
	w.start = w.records[drop-1].Offset + 1
	w.records = w.records[drop:]
}

func (w *window) notifyReaders() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// read returns the page at from; covered is false if the window starts after
// from. The channel is closed at the next change of the window.
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
	end := w.pageEnd(first, limit)
	if end < len(w.records) {
		page.Next = w.records[end].Offset
	}
	page.Records = w.records[first:end:end]
	return page, w.changed, true
}

// pageEnd returns the index after the last record of the page whose first record
// has the index first.
func (w *window) pageEnd(first, limit int) int {
	bytes := 0
	end := first
	for end < len(w.records) && end-first < limit {
		bytes += sizeOfRecord(&w.records[end])
		if end > first && bytes > maxPageBytes {
			break
		}
		end++
	}
	return end
}

func sizeOfRecord(record *state.StoredRecord) int { return len(record.Body) + recordOverhead }

func sizeOfPositioned(records []state.StoredRecord) int {
	size := 0
	for i := range records {
		size += sizeOfRecord(&records[i])
	}
	return size
}
