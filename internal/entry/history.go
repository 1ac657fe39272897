package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// historyRecords bounds the reading of old audit records at the start.
	historyRecords = 20_000
	// historyBytes bounds the reports of counts that are kept.
	historyBytes = 16 * state.MiB
)

// history holds the reports of counts that the region's audit stream carries.
// The oldest are dropped beyond historyBytes; since reports are numbered, a
// settlement then says that they are missing.
type history struct {
	mu      sync.Mutex
	reports []state.Positioned
	size    state.Bytes
	limit   state.Bytes
}

func newHistory() *history { return &history{limit: historyBytes} }

func (h *history) add(records []state.Positioned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range records {
		if !audit.IsCountsReport(record) {
			continue
		}
		h.reports = append(h.reports, record)
		h.size += state.Bytes(len(record.Body))
	}
	dropped := 0
	for h.size > h.limit {
		h.size -= state.Bytes(len(h.reports[dropped].Body))
		dropped++
	}
	h.reports = slices.Delete(h.reports, 0, dropped)
}

// writers returns the processes that wrote the reports.
func (h *history) writers() []state.ProcessID {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[state.ProcessID]bool)
	for _, report := range h.reports {
		seen[report.Writer] = true
	}
	return slices.Collect(maps.Keys(seen))
}

// ended returns the reports of the processes that are not alive, by process.
func (h *history) ended(alive map[state.ProcessID]bool) map[state.ProcessID][]state.Positioned {
	h.mu.Lock()
	defer h.mu.Unlock()
	byProcess := make(map[state.ProcessID][]state.Positioned)
	for _, report := range h.reports {
		if !alive[report.Writer] {
			byProcess[report.Writer] = append(byProcess[report.Writer], report)
		}
	}
	return byProcess
}

// followAudit reads the region's audit stream until ctx ends.
func (e *Entry) followAudit(ctx context.Context) error {
	stream := platform.AuditStream(e.cfg.Region)
	next := state.Offset(0)
	options := e.control.tailOptions()
	options.Pace = e.readPace()
	for ctx.Err() == nil {
		page, err := e.deps.Log.Read(ctx, stream, next, 1, 0)
		if err != nil && page.Oldest <= next {
			ctxtime.Sleep(ctx, tailPause)
			continue
		}
		next = max(next, page.Oldest, page.End-historyRecords)
		err = logclient.Tail(ctx, e.deps.Log, stream, next, options, func(page platform.Page) error {
			next = page.Next
			e.trail.Observe(page.Records)
			e.history.add(page.Records)
			return nil
		})
		if ctx.Err() != nil {
			break
		}
		e.deps.Logger.Warn("reading the audit stream failed; it is repeated", "error", err)
		ctxtime.Sleep(ctx, tailPause)
	}
	return nil
}

// aliveAsked asks which of the processes are live entries of the region.
type aliveAsked struct {
	processes []state.ProcessID
	reply     chan map[state.ProcessID]bool
}

func (e aliveAsked) apply(c *control, _ time.Time) {
	alive := make(map[state.ProcessID]bool)
	for _, id := range e.processes {
		_, last := c.peers.process(id)
		alive[id] = id == c.cfg.self || last && slices.Contains(c.peers.live, state.EntryName(id.Name))
	}
	e.reply <- alive
}

// endedCounts are the counts of processes that have ended, from their reports.
func (s source) endedCounts(ctx context.Context) [][]oplang.Value {
	processes := s.entry.history.writers()
	alive, err := exchangeEvent(ctx, s.entry.control, func(reply chan map[state.ProcessID]bool) event {
		return aliveAsked{processes: processes, reply: reply}
	})
	if err != nil {
		return nil
	}
	ended := s.entry.history.ended(alive)
	maps.DeleteFunc(ended, func(id state.ProcessID, _ []state.Positioned) bool {
		_, asked := alive[id] // A report may have come since.
		return !asked
	})
	return settledRows(ended)
}

func settledRows(reports map[state.ProcessID][]state.Positioned) [][]oplang.Value {
	processes := make([]state.ProcessID, 0, len(reports))
	for process := range reports {
		processes = append(processes, process)
	}
	slices.SortFunc(processes, func(a, b state.ProcessID) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var rows [][]oplang.Value
	for _, process := range processes {
		settled, err := audit.Settle(reports[process])
		if err != nil || len(settled.Processes) != 1 {
			continue
		}
		known := settled.Processes[0]
		for _, r := range settled.Rows {
			rows = append(rows, countRow(r, known.From, known.To, process.Name, known.String()))
		}
	}
	return rows
}

func countRow(r audit.Row, from, to time.Time, process, complete string) []oplang.Value {
	return []oplang.Value{
		oplang.Text(r.Caller), oplang.Text(r.Outcome.String()), oplang.Text(r.Reason), oplang.Int(r.Requests),
		oplang.Time(from), oplang.Time(to), oplang.Text(process), oplang.Text(complete),
	}
}
