package shard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// startHook is a fleet that calls before ahead of the next start, once.
type startHook struct {
	lovagestand.Fleet
	before func()
}

func (h *startHook) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.Clock, error) {
	if before := h.before; before != nil {
		h.before = nil
		before()
	}
	return h.Fleet.Start(ctx, w, o)
}

// assertCompletedOnce waits until a job is completed, with that many starts
// in all.
func (k *cell) assertCompletedOnce(o *owner, id string, starts int) {
	k.c.Helper()
	time.Sleep(30 * time.Second)
	assertPhase(k.c, o, id, "completed")
	k.assertSound()
	k.c.Assert(k.fleet.Starts(), qt.Equals, starts)
}

// TestAcknowledgementForAFormerLife guards against a hold that acknowledges the
// ends of a former life to the next one, which drops its own unread.
func TestAcknowledgementForAFormerLife(t *testing.T) {
	c := qt.New(t)
	for name, during := range map[string]bool{"born before a start": false, "born during a start": true} {
		c.Run(name, func(c *qt.C) {
			synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(50*time.Millisecond, lovagestand.EndingDone))
				hook := &startHook{Fleet: k.fleet}
				k.between = hook
				o := k.ownReady("a")
				defer o.stop()
				o.submit(c, id(1), job.Step{Count: 4})
				time.Sleep(700 * time.Millisecond)
				assertPhase(c, o, id(1), "completed")
				if during {
					hook.before = func() { k.bear(0) }
				} else {
					k.bear(0)
				}
				o.submit(c, id(2), job.Step{Count: 1})
				k.assertCompletedOnce(o, id(2), 5)
			})
		})
	}
}
