package logclient

import (
	"context"

	"golang.org/x/time/rate"
)

// Pace bounds the reads of a stream by a token bucket, since each of many
// readers that waits for the next record makes the log answer once per record
// and reader. While the bucket holds tokens a record is read at once.
type Pace struct {
	// PerSecond returns the rate now; nil means no bound. It may change with
	// the number of readers that share the log.
	PerSecond func() float64
	// Burst is the size of the bucket; default 5.
	Burst int
}

// pacer applies a Pace to one tail.
type pacer struct {
	perSecond func() float64
	bucket    *rate.Limiter
}

func newPacer(p Pace) pacer {
	if p.PerSecond == nil {
		return pacer{}
	}
	setDefault(&p.Burst, 5)
	return pacer{perSecond: p.PerSecond, bucket: rate.NewLimiter(rate.Limit(p.PerSecond()), p.Burst)}
}

// wait takes a token and reports whether ctx lasted until there was one.
func (p pacer) wait(ctx context.Context) bool {
	if p.bucket == nil {
		return ctx.Err() == nil
	}
	p.bucket.SetLimit(rate.Limit(p.perSecond()))
	return sleep(ctx, p.bucket.Reserve().Delay())
}
