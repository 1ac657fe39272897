package audit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// OverflowCaller stands for the callers beyond maxCells.
const OverflowCaller state.CallerName = "(other callers)"

// maxCells bounds the table: 5,000 callers with a dozen cells each. Callers
// are configured, so only a fault can reach it.
const maxCells = 60_000

// Cell names one count.
type Cell struct {
	Caller  state.CallerName `json:"caller"`
	Outcome Outcome          `json:"outcome"`
	Reason  verdict.Reason   `json:"reason"`
}

// Row is one count.
type Row struct {
	Cell
	Requests uint64 `json:"requests"`
}

// Window is what a process counted between two times.
type Window struct {
	From, To time.Time
	Rows     []Row
}

// Counts counts what the requests of each caller came to. The counters only
// grow: a window is the difference between two readings, so that a request
// counted while a window closes falls into the next one and none is lost.
type Counts struct {
	// cells maps Cell to *atomic.Uint64.
	cells sync.Map
	size  atomic.Int64

	mu      sync.Mutex
	started time.Time
	// closed windows are kept for queries.
	windows  []Window
	keep     int
	reading  map[Cell]uint64
	closedAt time.Time
}

// NewCounts returns empty counts that begin now and keep the given number of
// closed windows for queries.
func NewCounts(now time.Time, keep int) *Counts {
	return &Counts{started: now, closedAt: now, keep: keep, reading: make(map[Cell]uint64)}
}

// Add counts one request that ended.
func (c *Counts) Add(caller state.CallerName, outcome Outcome, reason verdict.Reason) {
	c.counter(Cell{Caller: caller, Outcome: outcome, Reason: reason}).Add(1)
}

func (c *Counts) counter(cell Cell) *atomic.Uint64 {
	if known, ok := c.cells.Load(cell); ok {
		return known.(*atomic.Uint64)
	}
	if c.size.Load() >= maxCells {
		cell.Caller = OverflowCaller
	}
	counter, existed := c.cells.LoadOrStore(cell, new(atomic.Uint64))
	if !existed {
		c.size.Add(1)
	}
	return counter.(*atomic.Uint64)
}

// read returns all counters as they are now.
func (c *Counts) read() map[Cell]uint64 {
	reading := make(map[Cell]uint64)
	c.cells.Range(func(cell, counter any) bool {
		reading[cell.(Cell)] = counter.(*atomic.Uint64).Load()
		return true
	})
	return reading
}

// difference returns the cells that grew from one reading to the next.
func difference(before, after map[Cell]uint64) []Row {
	var rows []Row
	for cell, requests := range after {
		if grown := requests - before[cell]; grown > 0 {
			rows = append(rows, Row{Cell: cell, Requests: grown})
		}
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Caller, b.Caller),
			cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
}

// CloseWindow ends the present window and starts the next.
func (c *Counts) CloseWindow(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading := c.read()
	c.windows = append(c.windows, Window{
		From: c.closedAt, To: now, Rows: difference(c.reading, reading),
	})
	if len(c.windows) > c.keep {
		c.windows = slices.Delete(c.windows, 0, len(c.windows)-c.keep)
	}
	c.reading = reading
	c.closedAt = now
}

// Total returns all counts since the process started.
func (c *Counts) Total(now time.Time) Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Window{From: c.started, To: now, Rows: difference(nil, c.read())}
}

// Since returns the counts of the kept windows that began at since or later,
// and of the open one. The result's From says where they really begin.
func (c *Counts) Since(since, now time.Time) Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[Cell]uint64)
	result := Window{From: c.closedAt, To: now}
	open := Window{Rows: difference(c.reading, c.read())}
	for _, w := range append(slices.Clone(c.windows), open) {
		if !w.From.IsZero() && w.From.Before(since) {
			continue
		}
		if !w.From.IsZero() && w.From.Before(result.From) {
			result.From = w.From
		}
		for _, row := range w.Rows {
			sum[row.Cell] += row.Requests
		}
	}
	result.Rows = difference(nil, sum)
	return result
}
