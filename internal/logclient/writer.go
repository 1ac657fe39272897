package logclient

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// recordOverhead is what a record takes on the wire beyond its body.
const recordOverhead = 200

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Delay is how long a record waits for others to share its append;
	// default 50 ms. A negative value means no delay.
	Delay time.Duration
	// MaxBatch and MaxBatchBytes bound an append; default 500 records and
	// 1 MiB.
	MaxBatch      int
	MaxBatchBytes int
	// AppendsPerSecond and AppendBurst are the append budget of the process
	// over all streams; default 20 and 5.
	AppendsPerSecond float64
	AppendBurst      int
	// MaxBuffered and MaxBufferedBytes bound what waits over all streams;
	// default 10,000 records and 16 MiB.
	MaxBuffered      int
	MaxBufferedBytes int
	// Settle is how long after a call without an answer its append may still
	// take effect; only then is a record that the log does not show sent
	// again. It must exceed the time for which the log, or a relay in
	// between, may hold an append back. Default 10 s.
	Settle time.Duration
	// MaxRetryDelay bounds the growing delay after failed calls for a stream; zero,
	// and no function, mean 2 s. The delay is jittered by half.
	MaxRetryDelay func(platform.Stream) time.Duration
}

func (c WriterConfig) withDefaults() WriterConfig {
	if c.Delay == 0 {
		c.Delay = 50 * time.Millisecond
	}
	defaults.Set(&c.MaxBatch, 500)
	defaults.Set(&c.MaxBatchBytes, 1<<20)
	defaults.Set(&c.AppendsPerSecond, 20)
	defaults.Set(&c.AppendBurst, 5)
	defaults.Set(&c.MaxBuffered, 10_000)
	defaults.Set(&c.MaxBufferedBytes, 16<<20)
	defaults.Set(&c.Settle, 10*time.Second)
	if c.MaxRetryDelay == nil {
		c.MaxRetryDelay = func(platform.Stream) time.Duration { return 0 }
	}
	return c
}

// Writer appends records in batches. It implements Appender.
//
// A record that is sent again after an unknown outcome keeps its id. If the
// log stores it twice nevertheless, because an append took effect later than
// Settle, the offset returned is that of the first copy.
type Writer struct {
	log    platform.Log
	cfg    WriterConfig
	budget *rate.Limiter

	mu       sync.Mutex
	queues   map[platform.Stream]*queue
	starting []*queue
	records  int
	bytes    int
	stopped  bool
	// started tells Run that starting has a queue.
	started chan struct{}
}

// queue holds the items of one stream. The writer's mutex guards its fields,
// except floor, which only the queue's goroutine uses.
type queue struct {
	stream  platform.Stream
	items   []*item
	records int
	bytes   int
	// alone is how many items are sent one by one, after the log has
	// rejected a batch that held them.
	alone int
	// ready tells the queue's goroutine to look at items.
	ready chan struct{}
	// floor is an offset that no unresolved record is older than.
	floor state.Offset
}

// item is the records of one call of Append.
type item struct {
	records []state.Record
	size    int
	since   time.Time
	done    chan result
	sending bool
	// abandoned means that the caller has left while the item was sent.
	abandoned bool
	// resent means that an earlier append of the item had no known outcome.
	resent bool
}

type result struct {
	first state.Offset
	err   error
}

// NewWriter returns a writer to log. Records wait until Run is called.
func NewWriter(log platform.Log, cfg WriterConfig) *Writer {
	cfg = cfg.withDefaults()
	return &Writer{
		log:     log,
		cfg:     cfg,
		budget:  rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendBurst),
		queues:  make(map[platform.Stream]*queue),
		started: make(chan struct{}, 1),
	}
}

// SetAppendsPerSecond changes the append budget.
func (w *Writer) SetAppendsPerSecond(n float64) { w.budget.SetLimit(rate.Limit(n)) }

// AppendsPerSecond returns the append budget.
func (w *Writer) AppendsPerSecond() float64 { return float64(w.budget.Limit()) }

// Append queues records, which become neighbours in one append, and returns
// their offsets once they are stored. A record that the log refuses for the
// moment is sent again until ctx ends.
//
// If ctx ends first, the error wraps platform.ErrUnavailable if the records
// were not stored and never will be, otherwise platform.ErrUnknownOutcome.
func (w *Writer) Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error) {
	entry := &item{records: records, size: sizeOf(records), since: time.Now(), done: make(chan result, 1)}
	if err := w.check(ctx, entry); err != nil {
		return nil, err
	}
	q, err := w.enqueue(stream, entry)
	if err != nil {
		return nil, err
	}
	select {
	case outcome := <-entry.done:
		return entry.offsets(outcome)
	case <-ctx.Done():
		return w.abandon(q, entry)
	}
}

func (w *Writer) check(ctx context.Context, entry *item) error {
	switch {
	case len(entry.records) == 0:
		return errors.Wrap(platform.ErrRejected, "no records")
	case len(entry.records) > w.cfg.MaxBatch, entry.size > w.cfg.MaxBatchBytes:
		return errors.Wrapf(platform.ErrRejected, "%d records of %d bytes exceed an append", len(entry.records), entry.size)
	case ctx.Err() != nil:
		return errors.Wrapf(platform.ErrUnavailable, "not sent: %v", ctx.Err())
	}
	return nil
}

func (w *Writer) enqueue(stream platform.Stream, entry *item) (*queue, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, ErrStopped
	}
	if w.records+len(entry.records) > w.cfg.MaxBuffered || w.bytes+entry.size > w.cfg.MaxBufferedBytes {
		return nil, &BufferFullError{Stream: stream, Buffered: w.records, Limit: w.cfg.MaxBuffered}
	}
	q := w.queue(stream)
	q.items = append(q.items, entry)
	q.count(entry, 1)
	w.records += len(entry.records)
	w.bytes += entry.size
	if len(q.items) == 1 || w.full(q) {
		notify(q.ready)
	}
	return q, nil
}

func (w *Writer) queue(stream platform.Stream) *queue {
	q, ok := w.queues[stream]
	if !ok {
		q = &queue{stream: stream, ready: make(chan struct{}, 1), floor: state.NoOffset}
		w.queues[stream] = q
		w.starting = append(w.starting, q)
		notify(w.started)
	}
	return q
}

func (w *Writer) full(q *queue) bool {
	return q.records >= w.cfg.MaxBatch || q.bytes >= w.cfg.MaxBatchBytes
}

func (q *queue) count(entry *item, sign int) {
	q.records += sign * len(entry.records)
	q.bytes += sign * entry.size
}

// abandon gives up waiting for entry.
func (w *Writer) abandon(q *queue, entry *item) ([]state.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case outcome := <-entry.done:
		return entry.offsets(outcome)
	default:
	}
	if entry.sending {
		entry.abandoned = true
		return nil, errors.Wrap(platform.ErrUnknownOutcome, "caller left during the append")
	}
	for i, other := range q.items {
		if other == entry {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.count(entry, -1)
			break
		}
	}
	w.free(entry)
	if entry.resent {
		return nil, errors.Wrap(platform.ErrUnknownOutcome, "caller left between two appends")
	}
	return nil, errors.Wrap(platform.ErrUnavailable, "caller left before the append")
}

func (w *Writer) free(entry *item) {
	w.records -= len(entry.records)
	w.bytes -= entry.size
}

func (i *item) offsets(outcome result) ([]state.Offset, error) {
	if outcome.err != nil {
		return nil, outcome.err
	}
	offsets := make([]state.Offset, len(i.records))
	for n := range offsets {
		offsets[n] = outcome.first + state.Offset(n)
	}
	return offsets, nil
}

// Run sends appends until ctx ends. Records that still wait then are refused
// with ErrStopped, so callers end their appends before.
func (w *Writer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		for _, q := range w.takeStarting() {
			running.Go(func() { w.serve(ctx, q) })
		}
		select {
		case <-w.started:
		case <-ctx.Done():
			running.Wait()
			w.stop()
			return nil
		}
	}
}

func (w *Writer) takeStarting() []*queue {
	w.mu.Lock()
	defer w.mu.Unlock()
	starting := w.starting
	w.starting = nil
	return starting
}

// stop refuses what waits and all later appends.
func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, q := range w.queues {
		for _, entry := range q.items {
			w.free(entry)
			err := ErrStopped
			if entry.resent {
				err = errors.Wrap(platform.ErrUnknownOutcome, "writer stopped between two appends")
			}
			entry.done <- result{err: err}
		}
		q.items = nil
	}
}

func sizeOf(records []state.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Body) + recordOverhead
	}
	return size
}

func notify(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
