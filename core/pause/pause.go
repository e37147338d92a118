package pause

import (
	"context"
	"time"
)

// For waits for the span and reports whether the context is still valid.
func For(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
