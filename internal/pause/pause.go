// Package pause waits for a time unless a context ends before.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether the whole time passed. When d is not
// positive it only looks at ctx.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
