package pause

import (
	"context"
	"time"
)

// For waits for the duration or until the context ends, and reports whether the context is still valid.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
