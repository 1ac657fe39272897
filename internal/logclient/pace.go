package logclient

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// ReadLimit is a token-bucket limit on the reads of a stream. Without a limit the
// log answers a read per record and reader, because every reader long-polls for
// the next record. While the bucket holds tokens, records are read at once.
type ReadLimit struct {
	// PerSecond returns the current rate; nil means no limit. The rate may
	// change with the number of readers that share the log.
	PerSecond func() float64
	// Burst is the size of the bucket; default 5.
	Burst int
	// Urgent reports whether something waits for a record of the stream. A
	// read that is waiting for a token is then made at once, without the
	// token. Nil means never.
	Urgent func() bool
}

// urgentPollInterval is the interval between calls of Urgent while a read waits
// for a token.
const urgentPollInterval = 20 * time.Millisecond

// readLimiter limits the reads of one Tail. The zero value has no limit.
type readLimiter struct {
	perSecond func() float64
	urgent    func() bool
	bucket    *rate.Limiter
}

func newReadLimiter(p ReadLimit) readLimiter {
	if p.PerSecond == nil {
		return readLimiter{}
	}
	defaults.Set(&p.Burst, 5)
	if p.Urgent == nil {
		p.Urgent = func() bool { return false }
	}
	return readLimiter{perSecond: p.PerSecond, urgent: p.Urgent, bucket: rate.NewLimiter(rate.Limit(p.PerSecond()), p.Burst)}
}

// wait blocks until a token is available or the read has become urgent. It
// reports false if ctx ended first.
func (l readLimiter) wait(ctx context.Context) bool {
	if l.bucket == nil {
		return ctx.Err() == nil
	}
	l.bucket.SetLimit(rate.Limit(l.perSecond()))
	token := l.bucket.Reserve()
	for end := time.Now().Add(token.Delay()); time.Now().Before(end); {
		if l.urgent() {
			token.Cancel()
			return ctx.Err() == nil
		}
		if !ctxtime.Sleep(ctx, min(urgentPollInterval, time.Until(end))) {
			return false
		}
	}
	return ctx.Err() == nil
}
