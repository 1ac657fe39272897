package audit

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Options bounds a trail.
type Options struct {
	// Recent is how many entries stay in memory for queries. Default 5000
	// entries.
	Recent int
	// Pending is how many entries may wait for the log. Default 2000
	// entries. The room of one batch is closed to automatic decisions, so
	// that the operators' changes find room.
	Pending int
	// Batch is how many entries one append carries. Default 200 entries.
	Batch int
}

func (o Options) orDefaults() Options {
	defaults.Set(&o.Recent, 5000)
	defaults.Set(&o.Pending, 2000)
	defaults.Set(&o.Batch, 200)
	return o
}

// Trail collects audit entries and writes them to the region's audit stream
// in batches. Its methods may be called from any goroutine; none but Flush
// waits for the log.
type Trail struct {
	writer   state.ProcessID
	stream   platform.Stream
	appender Appender
	options  Options

	// flushing keeps batches in order.
	flushing sync.Mutex

	mu      sync.Mutex
	recent  recent
	pending []state.Record
	// discarded counts entries that found no room since the last batch.
	discarded int
	total     uint64
}

// NewTrail returns the empty trail of a process.
func NewTrail(writer state.ProcessID, region state.Region, appender Appender, options Options) *Trail {
	options = options.orDefaults()
	return &Trail{
		writer:   writer,
		stream:   platform.AuditStream(region),
		appender: appender,
		options:  options,
		recent:   newRecent(options.Recent),
	}
}

// Operator records what an operator did or tried.
func (t *Trail) Operator(a state.Audit) { t.add(a, false) }

// Automatic records a decision of the system itself, such as a load, an
// unload, an ejection or a quarantine. Its actor is this process.
func (t *Trail) Automatic(a state.Audit) {
	a.Actor = t.writer.Name
	a.Accepted = true
	t.add(a, true)
}

// ChangeEntry describes an operator's change of the configuration. Refusal is
// nil if it was accepted; offset is the place of the change in the log.
func ChangeEntry(now time.Time, change state.ConfigChange, before json.RawMessage, refusal error, offset state.Offset) state.Audit {
	a := state.Audit{
		Time:     now,
		Actor:    change.Actor,
		Action:   "change",
		Entity:   change.Entity,
		Name:     change.Name,
		Before:   before,
		After:    change.Value,
		Reason:   change.Reason,
		Accepted: refusal == nil,
		Offset:   offset,
	}
	switch {
	case change.Expected == 0:
		a.Action = "create"
	case len(change.Value) == 0:
		a.Action = "delete"
	}
	if refusal != nil {
		a.Detail = refusal.Error()
		a.Offset = state.NoOffset
	}
	return a
}

func (t *Trail) add(a state.Audit, automatic bool) {
	a = bounded(a)
	record, err := state.NewRecord(uuid.NewString(), t.writer, state.KindAudit, a)
	if err != nil {
		// bounded leaves only valid JSON, so that encoding cannot fail.
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.add(recentEntry{record.ID, a})
	limit := t.options.Pending
	if automatic {
		limit -= min(t.options.Batch, limit/2)
	}
	if len(t.pending) >= limit {
		t.discarded++
		t.total++
		return
	}
	t.pending = append(t.pending, record)
}

// Observe adds entries that other processes wrote to the audit stream to the
// recent part. Entries that are known already are skipped, and so are reports
// of counts, which are large and not what the recent part is asked for.
func (t *Trail) Observe(records []state.StoredRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var observed []recentEntry
	for _, r := range records {
		if r.Kind != state.KindAudit || t.recent.has(r.ID) {
			continue
		}
		if a, err := state.DecodeBody[state.Audit](r.Record); err == nil && a.Action != ActionCounts {
			observed = append(observed, recentEntry{r.ID, a})
		}
	}
	t.recent.add(observed...)
}

// Reach returns the time from which on Recent has dropped no entry; it is zero
// if it has dropped none.
func (t *Trail) Reach() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.reach()
}

// Recent returns at most limit entries that are not older than since, newest
// first.
func (t *Trail) Recent(since time.Time, limit int) []state.Audit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.newest(since, limit)
}

// Pending returns how many entries wait for the log, and how many found no
// room since the process started.
func (t *Trail) Pending() (waiting int, discarded uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending), t.total
}

// Flush writes the waiting entries. After an error they keep waiting with
// their record ids, so that a batch whose outcome was unknown can be written
// again: readers take the first record of an id.
func (t *Trail) Flush(ctx context.Context) error {
	t.flushing.Lock()
	defer t.flushing.Unlock()
	for {
		batch := t.batch()
		if len(batch) == 0 {
			return nil
		}
		if err := t.appender.Append(ctx, t.stream, batch...); err != nil {
			return errors.Wrap(err, "append to the audit stream")
		}
		t.mu.Lock()
		t.pending = t.pending[len(batch):]
		t.mu.Unlock()
	}
}

// batch returns the records of the next append. An entry that tells of
// discarded ones takes its place at the end of the waiting entries first.
func (t *Trail) batch() []state.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.discarded > 0 && len(t.pending) < t.options.Pending {
		t.reportDiscarded()
	}
	return slices.Clone(t.pending[:min(len(t.pending), t.options.Batch)])
}

func (t *Trail) reportDiscarded() {
	body, _ := json.Marshal(map[string]int{"discarded": t.discarded})
	a := state.Audit{
		Time:     time.Now(),
		Actor:    t.writer.Name,
		Action:   "discard",
		After:    body,
		Accepted: true,
		Detail:   "audit entries found no room while the log was away",
		Offset:   state.NoOffset,
	}
	record, err := state.NewRecord(uuid.NewString(), t.writer, state.KindAudit, a)
	if err != nil {
		return
	}
	t.discarded = 0
	t.recent.add(recentEntry{record.ID, a})
	t.pending = append(t.pending, record)
}
