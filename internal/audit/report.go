package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ActionCounts is the action of the audit entries that carry a CountsReport.
const ActionCounts = "counts"

// rowsPerRecord keeps a record of counts below 64 KiB.
const rowsPerRecord = 400

// CountsReport is what a process counted from one report to the next. The
// reports of a process that has ended are complete if their sequence has no
// gap and the last one is final.
type CountsReport struct {
	Process state.ProcessID `json:"process"`
	// Sequence counts the reports of the process from 1.
	Sequence uint64 `json:"sequence"`
	// Part counts from 0 to Parts-1 within a report.
	Part  int       `json:"part"`
	Parts int       `json:"parts"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
	// Final says that the process counted nothing after To.
	Final bool  `json:"final"`
	Rows  []Row `json:"rows"`
}

// Reporter writes the counts of a process to the audit stream. While the log
// is away the next report grows to cover the whole time, so that nothing is
// lost as long as the process lives.
type Reporter struct {
	counts   *Counts
	writer   state.ProcessID
	stream   platform.Stream
	appender Appender

	mu       sync.Mutex
	sequence uint64
	reported map[Cell]uint64
	until    time.Time
	// unsure is a report whose append may have taken effect; it is written
	// again unchanged before any other.
	unsure *pendingReport
}

type pendingReport struct {
	records []state.Record
	reading map[Cell]uint64
	to      time.Time
}

// NewReporter returns a reporter of counts.
func NewReporter(counts *Counts, writer state.ProcessID, region state.Region, appender Appender) *Reporter {
	return &Reporter{
		counts:   counts,
		writer:   writer,
		stream:   platform.AuditStream(region),
		appender: appender,
		reported: make(map[Cell]uint64),
		until:    counts.started,
	}
}

// Flush reports what was counted since the last report. Final is set at the
// end of a graceful stop, when no request is left.
func (r *Reporter) Flush(ctx context.Context, now time.Time, final bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unsure != nil {
		if err := r.write(ctx, r.unsure); err != nil {
			return err
		}
	}
	reading := r.counts.read()
	report, err := r.prepare(reading, now, final)
	if err != nil {
		return err
	}
	if report == nil {
		return nil
	}
	return r.write(ctx, report)
}

func (r *Reporter) write(ctx context.Context, report *pendingReport) error {
	err := r.appender.Append(ctx, r.stream, report.records...)
	if err == nil {
		r.unsure = nil
		r.sequence++
		r.reported = report.reading
		r.until = report.to
		return nil
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		r.unsure = report
	}
	return errors.Wrap(err, "append counts to the audit stream")
}

// prepare returns nil if there is nothing to report.
func (r *Reporter) prepare(reading map[Cell]uint64, now time.Time, final bool) (*pendingReport, error) {
	rows := difference(r.reported, reading)
	if len(rows) == 0 && !final {
		return nil, nil
	}
	report := &pendingReport{reading: reading, to: now}
	chunks := slices.Collect(slices.Chunk(rows, rowsPerRecord))
	if len(chunks) == 0 {
		chunks = [][]Row{{}}
	}
	for part, chunk := range chunks {
		record, err := r.record(CountsReport{
			Process: r.writer, Sequence: r.sequence + 1, Part: part, Parts: len(chunks),
			From: r.until, To: now, Final: final, Rows: chunk,
		})
		if err != nil {
			return nil, err
		}
		report.records = append(report.records, record)
	}
	return report, nil
}

func (r *Reporter) record(report CountsReport) (state.Record, error) {
	body, err := json.Marshal(report)
	if err != nil {
		return state.Record{}, errors.Wrap(err, "encode counts")
	}
	return state.NewRecord(uuid.NewString(), r.writer, state.KindAudit, state.Audit{
		Time:     report.To,
		Actor:    r.writer.Name,
		Action:   ActionCounts,
		After:    body,
		Accepted: true,
		Detail:   fmt.Sprintf("complete from %s to %s", report.From.UTC().Format(time.RFC3339), report.To.UTC().Format(time.RFC3339)),
		Offset:   state.NoOffset,
	})
}

// Settlement is what the reports of the audit stream add up to.
type Settlement struct {
	Rows []Row
	// Processes tells for each process how far its counts are known.
	Processes []Completeness
}

// Completeness is how far the counts of one run of a process are known.
type Completeness struct {
	Process state.ProcessID
	From    time.Time
	// To is the end of the last report.
	To time.Time
	// Final says that nothing was counted after To.
	Final bool
	// Missing is the number of reports or parts of reports before the last
	// that are not there.
	Missing int
}

// String says how far the counts are known, as in "complete" or "not final, 2
// reports missing".
func (c Completeness) String() string {
	switch {
	case c.Final && c.Missing == 0:
		return "complete"
	case c.Final:
		return fmt.Sprintf("%d reports missing", c.Missing)
	case c.Missing == 0:
		return "not final"
	default:
		return fmt.Sprintf("not final, %d reports missing", c.Missing)
	}
}

// IsCountsReport reports whether a record carries a CountsReport.
func IsCountsReport(record state.StoredRecord) bool {
	if record.Kind != state.KindAudit {
		return false
	}
	entry, err := state.DecodeBody[state.Audit](record.Record)
	return err == nil && entry.Action == ActionCounts
}

// Settle adds up the counts of an audit stream. Records that were written
// twice count once.
func Settle(records []state.StoredRecord) (Settlement, error) {
	seen := make(map[string]bool)
	sum := make(map[Cell]uint64)
	runs := make(map[state.ProcessID]*run)
	for _, record := range records {
		if record.Kind != state.KindAudit || seen[record.ID] {
			continue
		}
		seen[record.ID] = true
		entry, err := state.DecodeBody[state.Audit](record.Record)
		if err != nil {
			return Settlement{}, err
		}
		if entry.Action != ActionCounts {
			continue
		}
		var report CountsReport
		if err := json.Unmarshal(entry.After, &report); err != nil {
			return Settlement{}, errors.Wrapf(err, "decode counts of %s", record.Writer.Name)
		}
		for _, row := range report.Rows {
			sum[row.Cell] += row.Requests
		}
		if runs[report.Process] == nil {
			runs[report.Process] = &run{reports: make(map[uint64]int)}
		}
		runs[report.Process].add(report)
	}
	settlement := Settlement{Rows: difference(nil, sum)}
	for _, r := range slices.SortedFunc(maps.Values(runs), compareRuns) {
		settlement.Processes = append(settlement.Processes, r.completeness())
	}
	return settlement, nil
}

// run collects the reports of one run of a process.
type run struct {
	known Completeness
	first uint64
	last  uint64
	// reports holds the number of missing parts by sequence.
	reports map[uint64]int
}

func (r *run) add(report CountsReport) {
	if len(r.reports) == 0 || report.Sequence < r.first {
		r.first, r.known.From = report.Sequence, report.From
	}
	if report.Sequence >= r.last {
		r.last, r.known.To, r.known.Final = report.Sequence, report.To, report.Final
	}
	r.known.Process = report.Process
	missing, ok := r.reports[report.Sequence]
	if !ok {
		missing = report.Parts
	}
	r.reports[report.Sequence] = missing - 1
}

// completeness counts a missing report as one. Reports are numbered from 1,
// so that reports older than the log's retention count as missing as well.
func (r *run) completeness() Completeness {
	known := r.known
	known.Missing = int(r.last) - len(r.reports)
	for _, missing := range r.reports {
		known.Missing += missing
	}
	return known
}

func compareRuns(a, b *run) int {
	if a.known.Process.Name != b.known.Process.Name {
		return strings.Compare(a.known.Process.Name, b.known.Process.Name)
	}
	return strings.Compare(a.known.Process.Incarnation, b.known.Process.Incarnation)
}
