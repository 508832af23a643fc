package shard_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// startsOf returns the number of runs of the tasks of a job.
func (k *cell) startsOf(id string) int {
	n := 0
	for _, r := range k.fleet.Runs() {
		if strings.HasPrefix(r.Task, id+".") {
			n++
		}
	}
	return n
}

// firstJobLong is the work of tasks of which only those of the first job take long.
func firstJobLong(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
	if strings.HasPrefix(o.Task, id(1)) {
		return 3 * time.Second, lovagestand.EndingDone
	}
	return 10 * time.Millisecond, lovagestand.EndingDone
}

// loseFirstJob makes the store slow and lose the records of the first job, and submits more
// other jobs than one write holds.
func (k *cell) loseFirstJob(o *owner) {
	k.lostJob.Store(id(1))
	k.delay.Store(int64(400 * time.Millisecond))
	for n := range 2 * jobstore.MaxEntries {
		go func() { _ = o.trySubmit(id(2+n), job.Step{Count: 1}) }()
	}
}

// assertNextOwnerStartsNothing checks that an owner which does not reach w0 for 2 s starts none
// of the tasks of the first job, which have started that many times.
func (k *cell) assertNextOwnerStartsNothing(fleet *refusingFleet, former *owner, starts int) {
	k.c.Helper()
	fleet.cut.Store(true)
	former.stop()
	k.lostJob.Store("")
	k.delay.Store(0)
	next := k.beginTerm("b")
	defer next.stop()
	time.Sleep(2 * time.Second)
	fleet.cut.Store(false)
	time.Sleep(30 * time.Second)
	assertPhase(k.c, next, id(1), "completed")
	k.assertNoViolations()
	k.c.Check(k.startsOf(id(1)), qt.Equals, starts)
}

// TestEndOnALeavingWorkerThatIsNotStored guards against tasks that a next owner starts again
// after they are done: the stored roster said that they no longer run on a worker that is
// about to leave, and their end was not stored.
func TestEndOnALeavingWorkerThatIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, firstJobLong)
		fleet := newRefusingFleet(k.fleet)
		k.fleetWrapper = fleet
		former := k.startOnBoth(c)
		defer former.stop()
		time.Sleep(1900 * time.Millisecond)
		k.loseFirstJob(former)
		time.Sleep(time.Second)
		k.assertNextOwnerStartsNothing(fleet, former, 2)
	})
}

// TestRosterWhileAnEndIsNotStored guards against tasks that a next owner starts again after
// they are done: the roster, which was written because another worker began to leave, did not
// list them although their end was not stored.
func TestRosterWhileAnEndIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 3, firstJobLong)
		fleet := newRefusingFleet(k.fleet)
		k.fleetWrapper = fleet
		former := k.beginReadyTerm("a")
		defer former.stop()
		former.submit(c, id(1), job.Step{Count: 4})
		time.Sleep(time.Second)
		k.setLeaving()
		time.Sleep(1900 * time.Millisecond)
		k.loseFirstJob(former)
		time.Sleep(200 * time.Millisecond)
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			workers[2].Ready = false
			return workers
		})
		time.Sleep(1300 * time.Millisecond)
		k.assertNextOwnerStartsNothing(fleet, former, 4)
	})
}
