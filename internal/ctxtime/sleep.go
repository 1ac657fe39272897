// Package ctxtime provides a sleep that ends with a context, and deadlines for
// the steps of a shutdown.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether d passed.
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
