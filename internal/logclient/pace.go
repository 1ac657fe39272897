package logclient

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// ReadLimit bounds the reads of a stream by a token bucket, since each of many
// readers that waits for the next record makes the log answer once per record
// and reader. While the bucket holds tokens a record is read at once.
type ReadLimit struct {
	// PerSecond returns the rate now; nil means no bound. It may change with
	// the number of readers that share the log.
	PerSecond func() float64
	// Burst is the size of the bucket; default 5.
	Burst int
	// Urgent reports whether somebody waits for a record of the stream. Reads
	// are not paced then and take no tokens. Nil means never.
	Urgent func() bool
}

// urgentPoll is the time between questions whether a read has become urgent.
const urgentPoll = 20 * time.Millisecond

// pacer applies a Pace to one tail.
type pacer struct {
	perSecond func() float64
	urgent    func() bool
	bucket    *rate.Limiter
}

func newPacer(p ReadLimit) pacer {
	if p.PerSecond == nil {
		return pacer{}
	}
	defaults.Set(&p.Burst, 5)
	if p.Urgent == nil {
		p.Urgent = func() bool { return false }
	}
	return pacer{perSecond: p.PerSecond, urgent: p.Urgent, bucket: rate.NewLimiter(rate.Limit(p.PerSecond()), p.Burst)}
}

// wait takes a token and reports whether ctx lasted until there was one or a
// read became urgent.
func (p pacer) wait(ctx context.Context) bool {
	if p.bucket == nil {
		return ctx.Err() == nil
	}
	p.bucket.SetLimit(rate.Limit(p.perSecond()))
	token := p.bucket.Reserve()
	for end := time.Now().Add(token.Delay()); time.Now().Before(end); {
		if p.urgent() {
			token.Cancel()
			return ctx.Err() == nil
		}
		if !ctxtime.Sleep(ctx, min(urgentPoll, time.Until(end))) {
			return false
		}
	}
	return ctx.Err() == nil
}
