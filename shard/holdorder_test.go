package shard_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// slowAnswerFleet is a fleet whose answers to holds arrive late.
type slowAnswerFleet struct {
	*runner.Fleet
	delay func(r lovagestand.HoldRequest) time.Duration
}

func (f *slowAnswerFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	reply, err := f.Fleet.Hold(ctx, w, r)
	time.Sleep(f.delay(r))
	return reply, err
}

// TestListThatWasMadeBeforeAnEnd guards against runs that are adopted after they have ended: the
// list that contains them was requested after the hold whose answer contains their end, made
// before it and received after it.
func TestListThatWasMadeBeforeAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if strings.HasPrefix(o.Task, id(1)) && o.Run == 1 {
				return 2 * time.Second, lovagestand.EndingFailed
			}
			return 5 * time.Second, lovagestand.EndingDone
		})
		k.fleetWrapper = &slowAnswerFleet{k.fleet, func(r lovagestand.HoldRequest) time.Duration {
			if r.Wait == 0 {
				return 300 * time.Millisecond
			}
			return 0
		}}
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

// TestEndInAnOvertakenAnswer guards against tasks that run again after they are done: the answer
// that lists their end belongs to a hold that was sent before one whose answer was received
// first, and was ignored, and their worker leaves before the next hold.
func TestEndInAnOvertakenAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(3*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = &slowAnswerFleet{k.fleet, func(lovagestand.HoldRequest) time.Duration { return 20 * time.Millisecond }}
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 1})
		time.Sleep(2400 * time.Millisecond)
		// A start without an answer is stopped, and the worker is then queried.
		lost := false
		k.fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault {
			if order != "start" || lost {
				return runner.FaultNone
			}
			lost = true
			return runner.FaultLostRequest
		})
		o.submit(c, id(2), job.Step{Count: 1})
		k.setLeaving()
		for k.fleet.Runs()[0].Ended.IsZero() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		k.leave()
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return append(workers, k.fleet.Add("w1", lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 1000}))
		})
		time.Sleep(20 * time.Second)
		assertPhase(c, o, id(1), "completed")
		c.Check(k.startsOf(id(1)), qt.Equals, 1)
		k.assertNoViolations()
		o.stop()
		time.Sleep(time.Second)
	})
}
