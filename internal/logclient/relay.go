package logclient

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Bounds of the records and the long-poll time of a read by another process.
const (
	maxRelayLimit = 1000
	maxRelayWait  = 30 * time.Second
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Window and WindowBytes bound the records kept in memory per stream;
	// default 20,000 records and 16 MiB.
	Window      int
	WindowBytes int
	// AppendTimeout bounds an append for another process; default 3 s. It
	// must be shorter than WriterConfig.Settle in the other processes.
	AppendTimeout time.Duration
	// Tail configures the reads from the log.
	Tail TailOptions
}

// Relay keeps the most recent records of streams in memory and answers reads
// from there. It implements platform.Log.
type Relay struct {
	log      platform.Log
	appender Appender
	cfg      RelayConfig
	windows  map[platform.Stream]*window
}

// NewRelay returns a relay that keeps the given streams of log. Reads of other
// streams go to the log. All appends go through appender.
func NewRelay(log platform.Log, appender Appender, cfg RelayConfig, streams ...platform.Stream) *Relay {
	defaults.Set(&cfg.Window, 20_000)
	defaults.Set(&cfg.WindowBytes, 16<<20)
	defaults.Set(&cfg.AppendTimeout, 3*time.Second)
	r := &Relay{log: log, appender: appender, cfg: cfg, windows: make(map[platform.Stream]*window, len(streams))}
	for _, stream := range streams {
		r.windows[stream] = newWindow(cfg.Window, cfg.WindowBytes)
	}
	return r
}

// Run tails the streams into their windows until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for stream, w := range r.windows {
		running.Go(func() { r.follow(ctx, stream, w) })
	}
	running.Wait()
	return nil
}

// follow tails stream into w. After a truncation the window restarts at the
// oldest record of the log; readers of older offsets are passed on to the log,
// which reports the truncation to them.
func (r *Relay) follow(ctx context.Context, stream platform.Stream, w *window) {
	from, ok := r.findStart(ctx, stream)
	for ok {
		w.reset(from)
		err := Tail(ctx, r.log, stream, from, r.cfg.Tail, w.add)
		var truncated *TruncatedError
		ok = errors.As(err, &truncated)
		if ok {
			from = truncated.Oldest
		}
	}
}

// findStart returns the first offset of the stream's window; ok is false if ctx
// ended.
func (r *Relay) findStart(ctx context.Context, stream platform.Stream) (from state.Offset, ok bool) {
	delays := newBackoff(0)
	for {
		page, err := r.log.Read(ctx, stream, 0, 1, 0)
		if err == nil || errors.Is(err, platform.ErrTruncated) {
			return max(page.Oldest, page.End-state.Offset(r.cfg.Window)), true
		}
		if !ctxtime.Sleep(ctx, delays.NextBackOff()) {
			return 0, false
		}
	}
}

// Append implements platform.Log.
func (r *Relay) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	offsets, err := r.appender.Append(ctx, stream, records...)
	if err != nil {
		return state.NoOffset, err
	}
	return offsets[0], nil
}

// Read implements platform.Log. Reads of offsets older than the window and
// reads without wait are passed on to the log.
func (r *Relay) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	w, ok := r.windows[stream]
	if !ok || wait <= 0 {
		return r.log.Read(ctx, stream, from, limit, wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, covered := w.read(from, limit)
		if !covered {
			return r.log.Read(ctx, stream, from, limit, wait)
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "context ended during the read")
		}
	}
}

// Methods returns the handlers of rpc.MethodRelayRead and
// rpc.MethodRelayAppend.
func (r *Relay) Methods() map[string]rpc.MethodFunc {
	return map[string]rpc.MethodFunc{
		rpc.MethodRelayRead:   rpc.Method(r.serveRead),
		rpc.MethodRelayAppend: rpc.Method(r.serveAppend),
	}
}

func (r *Relay) serveRead(ctx context.Context, params rpc.RelayReadParams) (rpc.RelayReadResult, error) {
	limit := params.Limit
	if limit <= 0 || limit > maxRelayLimit {
		limit = maxRelayLimit
	}
	wait := min(params.Wait.Std(), maxRelayWait)
	page, err := r.Read(ctx, params.Stream, params.From, limit, wait)
	if errors.Is(err, platform.ErrTruncated) {
		return rpc.RelayReadResult{Page: page, Truncated: true}, nil
	}
	if err != nil {
		return rpc.RelayReadResult{}, asVerdict(err)
	}
	return rpc.RelayReadResult{Page: page}, nil
}

func (r *Relay) serveAppend(ctx context.Context, params rpc.RelayAppendParams) (rpc.RelayAppendResult, error) {
	// The timeout lets the calling process's writer determine when an append of
	// unknown outcome can no longer take effect.
	ctx, cancel := context.WithTimeout(ctx, r.cfg.AppendTimeout)
	defer cancel()
	offsets, err := r.appender.Append(ctx, params.Stream, params.Records...)
	if err != nil {
		return rpc.RelayAppendResult{}, asVerdict(err)
	}
	return rpc.RelayAppendResult{Offsets: offsets}, nil
}

// asVerdict returns the verdict that reports to another process whether a
// failed call may have taken effect.
func asVerdict(err error) *verdict.Verdict {
	var full *BufferFullError
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		return verdict.Unknown(verdict.ReasonUnknownOutcome, "append outcome unknown")
	case errors.As(err, &full):
		return verdict.Refuse(verdict.ReasonQueueFull, "append buffer full")
	case errors.Is(err, platform.ErrRejected):
		return verdict.Refuse(verdict.ReasonBadRequest, "rejected by the log")
	case errors.Is(err, platform.ErrUnavailable):
		return verdict.Refuse(verdict.ReasonLogUnavailable, "log unavailable")
	default:
		return verdict.Unknown(verdict.ReasonInternal, "append failed")
	}
}
