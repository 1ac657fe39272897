package standin

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// LogConfig configures a Log.
type LogConfig struct {
	// AppendsPerSecond limits the appends of all streams; what exceeds it is
	// refused. Zero means no limit.
	AppendsPerSecond float64
	// Burst is how many appends may come at once; default a fifth of
	// AppendsPerSecond.
	Burst int
	// RetainRecords and RetainFor bound what a stream keeps. Zero means no
	// bound.
	RetainRecords int
	RetainFor     time.Duration
}

// Log is an append-only log in memory. It implements platform.Log.
type Log struct {
	switches[LogFaults]
	cfg     LogConfig
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[platform.Stream]*logStream
	appends int
}

// logStream is one stream; records[0] has offset oldest.
type logStream struct {
	records []state.StoredRecord
	oldest  state.Offset
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func (s *logStream) end() state.Offset { return s.oldest + state.Offset(len(s.records)) }

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	defaults.Set(&cfg.Burst, max(1, int(cfg.AppendsPerSecond/5)))
	return &Log{cfg: cfg, limiter: rate.NewLimiter(limit, cfg.Burst), streams: make(map[platform.Stream]*logStream)}
}

// Appends returns how many appends took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns what stream holds now, whatever faults are set.
func (l *Log) Records(stream platform.Stream) []state.StoredRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.kept(stream)
	return append([]state.StoredRecord(nil), kept.records...)
}

// Truncate drops the records of stream before offset, as retention does.
func (l *Log) Truncate(stream platform.Stream, offset state.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept(stream).drop(int(offset - l.kept(stream).oldest))
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	if len(records) == 0 || stream == "" {
		return state.NoOffset, errors.Wrap(platform.ErrRejected, "empty append")
	}
	if ctx.Err() != nil {
		return state.NoOffset, errors.Wrap(platform.ErrUnavailable, "caller left before the append")
	}
	outage, delay, lose := l.appendFaults()
	if outage {
		return state.NoOffset, errors.Wrap(platform.ErrUnavailable, "log outage")
	}
	if !l.limiter.Allow() {
		return state.NoOffset, errors.Wrap(platform.ErrUnavailable, "append rate exceeded")
	}
	if delay <= 0 {
		return l.answer(lose, l.store(stream, records))
	}
	return l.storeLater(ctx, delay, lose, stream, records)
}

// storeLater stores records after delay, even if the caller leaves before.
func (l *Log) storeLater(ctx context.Context, delay time.Duration, lose bool, stream platform.Stream, records []state.Record) (state.Offset, error) {
	kept := append([]state.Record(nil), records...)
	stored := make(chan state.Offset, 1)
	time.AfterFunc(delay, func() { stored <- l.store(stream, kept) })
	select {
	case first := <-stored:
		return l.answer(lose, first)
	case <-ctx.Done():
		return state.NoOffset, errors.Wrap(platform.ErrUnknownOutcome, "caller left during the append")
	}
}

func (l *Log) answer(lose bool, first state.Offset) (state.Offset, error) {
	if lose {
		return state.NoOffset, errors.Wrap(platform.ErrUnknownOutcome, "answer lost")
	}
	return first, nil
}

// appendFaults returns the faults of the next append and counts it.
func (l *Log) appendFaults() (outage bool, delay time.Duration, lose bool) {
	l.with(func(f *LogFaults) {
		outage, delay, lose = f.Outage, f.Delay.Std(), f.LoseAnswers
		if f.OutageNext > 0 {
			f.OutageNext--
			outage = true
		}
		if outage {
			return
		}
		if f.DelayNext > 0 {
			f.DelayNext--
			delay = max(delay, f.NextDelay.Std())
		}
		if f.LoseNext > 0 {
			f.LoseNext--
			lose = true
		}
	})
	return outage, delay, lose
}

func (l *Log) store(stream platform.Stream, records []state.Record) state.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.kept(stream)
	first := kept.end()
	now := time.Now()
	for i, record := range records {
		kept.records = append(kept.records, state.StoredRecord{Offset: first + state.Offset(i), Time: now, Record: record})
	}
	if l.cfg.RetainRecords > 0 {
		kept.drop(len(kept.records) - l.cfg.RetainRecords)
	}
	l.appends++
	close(kept.changed)
	kept.changed = make(chan struct{})
	return first
}

// kept returns the stream without what retention by time has ended.
func (l *Log) kept(stream platform.Stream) *logStream {
	kept, ok := l.streams[stream]
	if !ok {
		kept = &logStream{changed: make(chan struct{})}
		l.streams[stream] = kept
	}
	if l.cfg.RetainFor <= 0 {
		return kept
	}
	limit := time.Now().Add(-l.cfg.RetainFor)
	expired := 0
	for expired < len(kept.records) && kept.records[expired].Time.Before(limit) {
		expired++
	}
	kept.drop(expired)
	return kept
}

func (s *logStream) drop(count int) {
	count = min(count, len(s.records))
	if count <= 0 {
		return
	}
	s.records = s.records[count:]
	s.oldest += state.Offset(count)
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	faults := l.Faults()
	if faults.Outage {
		return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "log outage")
	}
	if !ctxtime.Sleep(ctx, faults.Delay.Std()) {
		return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "caller left during the read")
	}
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		page, changed, err := l.page(stream, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-expired.C:
			wait = 0
		case <-ctx.Done():
			return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "caller left during the read")
		}
	}
}

func (l *Log) page(stream platform.Stream, from state.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.kept(stream)
	page := platform.Page{From: from, Oldest: kept.oldest, Next: from, End: kept.end()}
	if from < kept.oldest {
		return page, nil, errors.Wrapf(platform.ErrTruncated, "oldest offset is %d", kept.oldest)
	}
	start := int(from - kept.oldest)
	if start >= len(kept.records) {
		return page, kept.changed, nil
	}
	stop := len(kept.records)
	if limit > 0 {
		stop = min(stop, start+limit)
	}
	page.Records = kept.records[start:stop:stop]
	page.Next = from + state.Offset(stop-start)
	return page, kept.changed, nil
}
