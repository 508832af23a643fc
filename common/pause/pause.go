// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true once it has passed. It returns false as soon
// as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
