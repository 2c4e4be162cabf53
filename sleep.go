package clementineport

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends, and reports whether the whole time has passed. Without a positive d it does not wait.
func Sleep(ctx context.Context, clock Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
