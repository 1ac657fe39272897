// Package ctxtime holds waits that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx lasted as long.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
