// Package wait provides waits that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d. It returns the context's error if ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
