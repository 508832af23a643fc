package shard_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// TestLongTasksOfOneJob guards against a job whose tasks take much longer than estimated and
// that keeps all workers from being given other tasks.
func TestLongTasksOfOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if strings.HasPrefix(o.Task, id(1)) {
				return 20 * time.Second, lovagestand.EndingDone
			}
			return time.Second, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 8, MaxPerWorker: 2})
		time.Sleep(6 * time.Second)
		o.submit(c, id(2), job.Step{Count: 1})
		time.Sleep(3 * time.Second)
		assertPhase(c, o, id(2), "completed")
		time.Sleep(15 * time.Second)
		assertPhase(c, o, id(1), "completed")
	})
}
