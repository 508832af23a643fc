package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/common/pause"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		c.Assert(pause.For(t.Context(), time.Minute), qt.IsTrue)
		c.Assert(time.Since(start), qt.Equals, time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(pause.For(ctx, time.Minute), qt.IsFalse)
		c.Assert(time.Since(start), qt.Equals, time.Minute+time.Second)
	})
}
