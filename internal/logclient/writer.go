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

// recordOverhead is the estimated encoded size of a record without its body, in
// bytes.
const recordOverhead = 200

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Delay is the time for which a record waits for others to be appended in
	// the same batch; default 50 ms. A negative value means no delay.
	Delay time.Duration
	// MaxBatch and MaxBatchBytes bound one append; default 500 records and
	// 1 MiB.
	MaxBatch      int
	MaxBatchBytes int
	// AppendsPerSecond and AppendBurst limit the appends of the process over all
	// streams; default 20 and 5.
	AppendsPerSecond float64
	AppendBurst      int
	// MaxBuffered and MaxBufferedBytes bound the unfinished records over all
	// streams; default 10,000 records and 16 MiB.
	MaxBuffered      int
	MaxBufferedBytes int
	// Settle is the time for which an append of unknown outcome may still take
	// effect; default 10 s. A record that is not found in the stream is sent
	// again only after it. It must exceed the time by which the log, or a
	// relay in between, may delay an append.
	Settle time.Duration
	// MaxRetryDelay returns the upper bound of the exponential delay after failed
	// calls for a stream; a nil function and zero mean 2 s. The delay is
	// jittered by half.
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
// A record that is sent again after an append of unknown outcome keeps its id.
// The log may still store it twice if the earlier append takes effect later than
// WriterConfig.Settle; the offset returned is then that of the first copy.
type Writer struct {
	log    platform.Log
	cfg    WriterConfig
	budget *rate.Limiter

	mu     sync.Mutex
	queues map[platform.Stream]*queue
	// newQueues are the queues for which Run has not started a goroutine yet.
	newQueues []*queue
	// records and bytes are the totals of all unfinished calls.
	records int
	bytes   int
	stopped bool
	// queueAdded signals Run that newQueues has a queue.
	queueAdded chan struct{}
}

// queue holds the waiting calls of one stream. The writer's mutex guards its
// fields, except searchStart, which only the queue's goroutine uses.
type queue struct {
	stream  platform.Stream
	calls   []*appendCall
	records int
	bytes   int
	// singleSends is the number of calls at the front of the queue that are
	// sent one by one, after the log has rejected the batch that held them.
	singleSends int
	// ready signals the queue's goroutine that calls has changed.
	ready chan struct{}
	// searchStart is a lower bound of the offsets of records with unknown
	// outcome. The search for them begins there.
	searchStart state.Offset
}

// appendCall is one call of Append. Its records are stored at consecutive
// offsets.
type appendCall struct {
	records  []state.Record
	size     int
	queuedAt time.Time
	done     chan result
	sending  bool
	// abandoned means that the context of the call ended during the append.
	abandoned bool
	// resent means that an earlier append of the records had an unknown
	// outcome.
	resent bool
}

type result struct {
	first state.Offset
	err   error
}

// NewWriter returns a writer to log. It appends nothing until Run is called.
func NewWriter(log platform.Log, cfg WriterConfig) *Writer {
	cfg = cfg.withDefaults()
	return &Writer{
		log:        log,
		cfg:        cfg,
		budget:     rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendBurst),
		queues:     make(map[platform.Stream]*queue),
		queueAdded: make(chan struct{}, 1),
	}
}

// SetAppendsPerSecond changes the rate limit of appends.
func (w *Writer) SetAppendsPerSecond(n float64) { w.budget.SetLimit(rate.Limit(n)) }

// AppendsPerSecond returns the rate limit of appends.
func (w *Writer) AppendsPerSecond() float64 { return float64(w.budget.Limit()) }

// Append queues records, which are stored by one append at consecutive offsets,
// and returns the offsets once they are stored. While the log is unavailable the
// append is retried until ctx ends.
//
// If ctx ends first, the error wraps platform.ErrUnavailable if the records
// were not stored and never will be, otherwise platform.ErrUnknownOutcome.
func (w *Writer) Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error) {
	call := &appendCall{records: records, size: sizeOf(records), queuedAt: time.Now(), done: make(chan result, 1)}
	if err := w.validate(ctx, call); err != nil {
		return nil, err
	}
	q, err := w.enqueue(stream, call)
	if err != nil {
		return nil, err
	}
	select {
	case outcome := <-call.done:
		return call.offsets(outcome)
	case <-ctx.Done():
		return w.abandon(q, call)
	}
}

func (w *Writer) validate(ctx context.Context, call *appendCall) error {
	switch {
	case len(call.records) == 0:
		return errors.Wrap(platform.ErrRejected, "no records")
	case len(call.records) > w.cfg.MaxBatch, call.size > w.cfg.MaxBatchBytes:
		return errors.Wrapf(platform.ErrRejected, "%d records of %d bytes exceed the limits of one append", len(call.records), call.size)
	case ctx.Err() != nil:
		return errors.Wrapf(platform.ErrUnavailable, "not sent: %v", ctx.Err())
	}
	return nil
}

func (w *Writer) enqueue(stream platform.Stream, call *appendCall) (*queue, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, ErrStopped
	}
	if w.records+len(call.records) > w.cfg.MaxBuffered || w.bytes+call.size > w.cfg.MaxBufferedBytes {
		return nil, &BufferFullError{Stream: stream, Buffered: w.records, Limit: w.cfg.MaxBuffered}
	}
	q := w.queue(stream)
	q.calls = append(q.calls, call)
	q.addSize(call, 1)
	w.records += len(call.records)
	w.bytes += call.size
	if len(q.calls) == 1 || w.full(q) {
		notify(q.ready)
	}
	return q, nil
}

func (w *Writer) queue(stream platform.Stream) *queue {
	q, ok := w.queues[stream]
	if !ok {
		q = &queue{stream: stream, ready: make(chan struct{}, 1), searchStart: state.NoOffset}
		w.queues[stream] = q
		w.newQueues = append(w.newQueues, q)
		notify(w.queueAdded)
	}
	return q
}

func (w *Writer) full(q *queue) bool {
	return q.records >= w.cfg.MaxBatch || q.bytes >= w.cfg.MaxBatchBytes
}

func (q *queue) addSize(call *appendCall, sign int) {
	q.records += sign * len(call.records)
	q.bytes += sign * call.size
}

// abandon handles the end of a call's context. It returns the result if there is
// one already. Otherwise it removes a call that still waits from the queue, or
// marks one that is being sent as abandoned.
func (w *Writer) abandon(q *queue, call *appendCall) ([]state.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case outcome := <-call.done:
		return call.offsets(outcome)
	default:
	}
	if call.sending {
		call.abandoned = true
		return nil, errors.Wrap(platform.ErrUnknownOutcome, "context ended during the append")
	}
	for i, other := range q.calls {
		if other == call {
			q.calls = append(q.calls[:i], q.calls[i+1:]...)
			q.addSize(call, -1)
			break
		}
	}
	w.releaseBuffer(call)
	if call.resent {
		return nil, errors.Wrap(platform.ErrUnknownOutcome, "context ended before the append was sent again")
	}
	return nil, errors.Wrap(platform.ErrUnavailable, "context ended before the append was sent")
}

func (w *Writer) releaseBuffer(call *appendCall) {
	w.records -= len(call.records)
	w.bytes -= call.size
}

func (c *appendCall) offsets(outcome result) ([]state.Offset, error) {
	if outcome.err != nil {
		return nil, outcome.err
	}
	offsets := make([]state.Offset, len(c.records))
	for n := range offsets {
		offsets[n] = outcome.first + state.Offset(n)
	}
	return offsets, nil
}

// Run sends appends until ctx ends. Records that are still queued then are
// refused with ErrStopped, so callers should finish their appends before.
func (w *Writer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		for _, q := range w.takeNewQueues() {
			running.Go(func() { w.sendLoop(ctx, q) })
		}
		select {
		case <-w.queueAdded:
		case <-ctx.Done():
			running.Wait()
			w.stop()
			return nil
		}
	}
}

func (w *Writer) takeNewQueues() []*queue {
	w.mu.Lock()
	defer w.mu.Unlock()
	queues := w.newQueues
	w.newQueues = nil
	return queues
}

// stop refuses the queued calls and all later ones.
func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, q := range w.queues {
		for _, call := range q.calls {
			w.releaseBuffer(call)
			err := ErrStopped
			if call.resent {
				err = errors.Wrap(platform.ErrUnknownOutcome, "writer stopped before the append was sent again")
			}
			call.done <- result{err: err}
		}
		q.calls = nil
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
