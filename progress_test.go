package lovagestand_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
)

// TestStallTimeout guards against calls that are given up although their reply arrives, and
// against calls that wait for good once it does not.
func TestStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		parts := 0
		ctx, cancel := lovagestand.WithStallTimeout(lovagestand.WithProgressHandler(t.Context(), func() { parts++ }), time.Second)
		defer cancel()
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			lovagestand.RecordProgress(ctx)
		}
		c.Assert(ctx.Err(), qt.IsNil)
		c.Assert(parts, qt.Equals, 10)
		stalled := time.Now()
		<-ctx.Done()
		c.Assert(time.Since(stalled), qt.Equals, time.Second)
		c.Assert(context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
	})
}
