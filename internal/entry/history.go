package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// historyRecords bounds the audit records that a query reads, in pages of
	// historyPage records; historyReads bounds the reads with some to spare
	// for records that come meanwhile.
	historyRecords = 20_000
	historyPage    = 500
	historyReads   = historyRecords/historyPage + 10
	// historyBytes bounds the reports of counts that are kept.
	historyBytes = 16 * state.MiB
)

// history holds the reports of counts that the region's audit stream carries.
// The oldest are dropped beyond historyBytes; since reports are numbered, a
// settlement then says that they are missing.
type history struct {
	mu      sync.Mutex
	reports []state.StoredRecord
	size    state.Bytes
	limit   state.Bytes
}

func newHistory() *history { return &history{limit: historyBytes} }

func (h *history) add(records []state.StoredRecord) {
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
func (h *history) ended(alive map[state.ProcessID]bool) map[state.ProcessID][]state.StoredRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	byProcess := make(map[state.ProcessID][]state.StoredRecord)
	for _, report := range h.reports {
		if !alive[report.Writer] {
			byProcess[report.Writer] = append(byProcess[report.Writer], report)
		}
	}
	return byProcess
}

// auditReader reads the region's audit stream when a query needs it. It goes on
// where the last query ended, and at most historyRecords before the stream's
// end.
type auditReader struct {
	log    platform.Log
	stream platform.Stream
	handle func(records []state.StoredRecord)
	// turn lets one query read at a time.
	turn chan struct{}

	// next is the offset to read from; before is set if older records were
	// skipped, to the time of the first one that was read after them.
	next    state.Offset
	skipped bool
	before  time.Time
}

func newAuditReader(log platform.Log, region state.Region, handle func([]state.StoredRecord)) *auditReader {
	return &auditReader{log: log, stream: platform.AuditStream(region), handle: handle, turn: make(chan struct{}, 1)}
}

// read reads to the end of the stream. It returns the time from which on all
// records were read, which is zero if none was skipped. An error says how far
// it came.
func (r *auditReader) read(ctx context.Context) (time.Time, error) {
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return time.Time{}, errors.Wrap(ctx.Err(), "another query reads")
	}
	for range historyReads {
		page, err := r.page(ctx)
		if err != nil {
			return r.before, errors.Wrapf(err, "read up to offset %d", r.next)
		}
		if r.next >= page.End {
			return r.before, nil
		}
	}
	return r.before, errors.Errorf("read up to offset %d", r.next)
}

func (r *auditReader) page(ctx context.Context) (platform.Page, error) {
	limit := historyPage
	if r.next == 0 {
		// Where a long stream ends is not known yet.
		limit = 1
	}
	page, err := r.log.Read(ctx, r.stream, r.next, limit, 0)
	start := max(page.Oldest, page.End-historyRecords)
	switch {
	case start > r.next && (err == nil || errors.Is(err, platform.ErrTruncated)):
		r.next, r.skipped = start, true
		return page, nil
	case err != nil:
		return page, err
	case page.Next < r.next || page.End < page.Next:
		return page, errors.Errorf("a page of an earlier state of the log, up to offset %d", page.Next)
	}
	if r.skipped && len(page.Records) > 0 {
		r.before, r.skipped = page.Records[0].Time, false
	}
	r.handle(page.Records)
	r.next = page.Next
	return page, nil
}

// observeAudit takes records of the audit stream.
func (e *Entry) observeAudit(records []state.StoredRecord) {
	e.trail.Observe(records)
	e.history.add(records)
}

// readAudit reads the audit stream for a query and returns what the answer
// lacks, or nothing.
func (s source) readAudit(ctx context.Context, q *oplang.Show, now time.Time) []string {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	before, err := s.entry.auditReader.read(ctx)
	var lacks []string
	if err != nil {
		s.entry.meter.Add("lagoonvalve_audit_read_failures_total", 1)
		lacks = append(lacks, "the log: "+err.Error())
	}
	if reach := s.entry.trail.Reach(); reach.After(before) {
		before = reach
	}
	if since, ok := q.SinceTime(now); ok && since.Before(before) {
		lacks = append(lacks, "the audit trail before "+before.UTC().Format(time.RFC3339))
	}
	return lacks
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
	maps.DeleteFunc(ended, func(id state.ProcessID, _ []state.StoredRecord) bool {
		_, asked := alive[id] // A report may have come since.
		return !asked
	})
	return settledRows(ended)
}

func settledRows(reports map[state.ProcessID][]state.StoredRecord) [][]oplang.Value {
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
