package shard_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// lateQueryFleet is a fleet whose answers to holds that do not wait arrive late.
type lateQueryFleet struct {
	*runner.Fleet
	delay time.Duration
}

func (f *lateQueryFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	reply, err := f.Fleet.Hold(ctx, w, r)
	if r.Wait == 0 {
		time.Sleep(f.delay)
	}
	return reply, err
}

// TestListThatWasMadeBeforeAnEnd guards against runs that are adopted after they have ended: the
// list that contains them was requested after the hold whose answer contains their end, made
// before it and received after it.
func TestListThatWasMadeBeforeAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Task[:len(id(1))] == id(1) && o.Run == 1 {
				return 2 * time.Second, lovagestand.EndingFailed
			}
			return 5 * time.Second, lovagestand.EndingDone
		})
		k.fleetWrapper = &lateQueryFleet{Fleet: k.fleet, delay: 300 * time.Millisecond}
		var log bytes.Buffer
		k.log = zerolog.New(&log)
		o := k.beginTerm("a")
		defer o.stop()
		time.Sleep(2 * time.Second)
		o.submit(c, id(1), job.Step{Count: 1})
		o.submit(c, id(2), job.Step{Count: 1})
		time.Sleep(1850 * time.Millisecond)
		c.Assert(o.Cancel(t.Context(), job.ID(id(2)), ""), qt.IsNil)
		time.Sleep(10 * time.Second)
		assertPhase(c, o, id(1), "completed")
		o.stop()
		for _, message := range []string{"task adopted", "stopping a run"} {
			c.Check(bytes.Contains(log.Bytes(), []byte(message)), qt.IsFalse, qt.Commentf("%s", message))
		}
	})
}
