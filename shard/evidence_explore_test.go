package shard_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/logfmt"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/keyspace"
	"lovagestand.example/lovagestand/standin/runner"
)

// The seeds of [TestExplorationOfEvidence].
var (
	evidenceSeeds     = flag.Uint64("evidenceSeeds", 100, "seeds of TestExplorationOfEvidence")
	firstEvidenceSeed = flag.Uint64("firstEvidenceSeed", 0, "first seed of TestExplorationOfEvidence")
)

// The kinds of jobs. The kind is the last digit of the ID.
const (
	kindShort = iota
	kindGang
	kindSteps
	kindLong
	kindLongRunning
	jobKinds
)

// gangSize is the number of members of all gangs.
const gangSize = 2

// maxLongRunning bounds the number of long-running jobs.
const maxLongRunning = 3

// explorationEvents is the number of events of one seed.
const explorationEvents = 45

// TestExplorationOfEvidence runs random schedules of what makes an owner conclude that a run
// was not started or is over: workers that leave, crash, fall silent or lose their entries,
// links that fail in part, a store that loses, delays and repeats, and changes of the owner.
// No task may run twice, and all jobs must end.
func TestExplorationOfEvidence(t *testing.T) {
	// At this seed a next owner would start tasks whose ends are not stored, if the list of a
	// leaving worker did not contain them.
	seeds := []uint64{1202}
	for n := range *evidenceSeeds {
		seeds = append(seeds, *firstEvidenceSeed+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreEvidence(t, seed) })
		})
	}
}

// kindOf returns the kind of the job of a task or of an ID.
func kindOf(name string) int { return int(name[15] - '0') }

func newWorld(c *qt.C, seed uint64) *world {
	w := &world{
		cell: newCell(c, 0, nil), ended: make(chan struct{}),
		schedule: &sharedRandom{source: rand.New(rand.NewPCG(seed, 11))}, faults: &sharedRandom{source: rand.New(rand.NewPCG(seed, 12))},
	}
	work := func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		hash := fnv.New64()
		_, _ = fmt.Fprint(hash, seed, o.Task, o.Run)
		share := time.Duration(hash.Sum64() % 1000)
		switch kindOf(o.Task) {
		case kindLong:
			return 2*time.Second + share*12*time.Millisecond, lovagestand.EndingDone
		case kindLongRunning:
			return time.Hour, lovagestand.EndingDone
		}
		return 50*time.Millisecond + share*2*time.Millisecond, lovagestand.EndingDone
	}
	w.fleet = runner.New(needs, work, runner.WithGangs(func(o lovagestand.Order) int {
		if kindOf(o.Task) == kindGang {
			return gangSize
		}
		return 0
	}))
	if os.Getenv("EXPLORE_LOG") != "" {
		w.log = logfmt.New(os.Stdout)
	}
	return w
}

func exploreEvidence(t *testing.T, seed uint64) {
	c := qt.New(t)
	w := newWorld(c, seed)
	defer close(w.ended)
	w.add("")
	w.addReady()
	w.writeList()
	go w.keepList()
	w.begin()
	defer func() {
		for _, o := range w.owners {
			o.stop()
		}
	}()
	time.Sleep(time.Second)
	var jobs explorationJobs
	events := w.drawEvents(&jobs)
	for range explorationEvents {
		events[w.schedule.IntN(len(events))]()
		time.Sleep(time.Duration(w.schedule.IntN(40)*w.schedule.IntN(40)) * time.Millisecond)
	}
	w.heal()
	unfinished := jobs.await(w)
	c.Check(w.fleet.Violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
	c.Check(unfinished, qt.HasLen, 0, qt.Commentf("seed %d", seed))
}

// drawEvents returns the events from which a schedule draws. Some events are left out, others
// are four times as frequent, so that schedules differ in what they combine.
func (w *world) drawEvents(jobs *explorationJobs) []func() {
	up := func(l *listening) bool { return l.up }
	leaving := func(l *listening) bool { return l.up && !l.info.Ready }
	with := func(condition func(*listening) bool, event func(*listening)) func() {
		return func() {
			if l := w.pick(condition); l != nil {
				event(l)
			}
		}
	}
	submit := func() { jobs.submit(w) }
	ready := func(l *listening) bool { return l.up && l.info.Ready }
	depart, loseEnd := with(ready, w.depart), with(up, func(l *listening) { w.loseEnd(l, submit) })
	harmStarts := with(ready, func(l *listening) { w.harmStarts(l, submit) })
	events := []func(){submit, submit, submit, submit, w.addReady, w.addReady, depart, depart, loseEnd, harmStarts, harmStarts}
	for _, event := range []func(){
		submit,
		func() {
			for range 6 {
				submit()
			}
		},
		with(ready, func(l *listening) { w.setReady(l, false) }),
		with(leaving, func(l *listening) { w.setReady(l, true) }),
		with((*listening).mayLeave, w.leave),
		with(up, w.crash),
		with(func(l *listening) bool { return !l.up }, w.comeBack),
		with(up, func(l *listening) { w.silence(l, w.upTo(10*time.Second)) }),
		with(up, func(l *listening) { w.locked(func() { l.overwritten = true }) }),
		with(up, w.harmLink), with(up, w.harmLink),
		w.harmStore,
		func() { w.delay.Store(int64(w.upTo(500 * time.Millisecond))) },
		func() { w.delay.Store(0) },
		func() { w.lostJob.Store("") },
		w.keys.ApplyLate,
		func() { w.listDelay.Store(int64(w.upTo(1200 * time.Millisecond))) },
		w.replaceOwner,
		func() {
			o, until := w.owner(), time.Now().Add(w.upTo(3*time.Second))
			w.locked(func() { o.suspendedUntil = until })
		},
	} {
		for range []int{0, 0, 1, 4}[w.schedule.IntN(4)] {
			events = append(events, event)
		}
	}
	return events
}

// addReady starts a worker if fewer than two can be given tasks.
func (w *world) addReady() {
	ready := 0
	for _, l := range w.all {
		if l.up && l.info.Ready {
			ready++
		}
	}
	if ready < 2 {
		w.add("")
	}
}

// crash ends a worker without notice; its entry remains until it expires.
func (w *world) crash(l *listening) {
	w.fleet.Crash(l.info.Name)
	w.locked(func() {
		l.up, l.whenDown = false, []linkFault{linkSilent, linkRefuses, linkDropsAndResets}[w.schedule.IntN(3)]
	})
}

// comeBack starts a worker that is not up again, with its address or another, or another
// worker at its address.
func (w *world) comeBack(l *listening) {
	switch w.schedule.IntN(3) {
	case 0:
		w.start(l)
	case 1:
		w.locked(func() { l.info.Address = "" })
		w.start(l)
	case 2:
		w.add(l.info.Address)
	}
}

// silence stops the heartbeats of a worker for a time.
func (w *world) silence(l *listening, lasting time.Duration) {
	w.locked(func() { l.silentUntil = time.Now().Add(lasting) })
}

// depart makes a worker begin to leave, and soon after puts in doubt what runs there.
func (w *world) depart(l *listening) {
	w.setReady(l, false)
	time.Sleep(w.upTo(2 * time.Second))
	switch w.schedule.IntN(4) {
	case 0:
		w.silence(l, 5*time.Second+w.upTo(7*time.Second))
	case 1:
		w.harmLink(l)
	case 2:
		w.locked(func() { l.overwritten = true })
	case 3:
		w.replaceOwner()
	}
}

// loseEnd loses the records of a job that runs on a worker which begins to leave, while others
// are stored slowly.
func (w *world) loseEnd(l *listening, submit func()) {
	for range 6 {
		submit()
	}
	time.Sleep(300 * time.Millisecond)
	w.setReady(l, false)
	for _, r := range w.fleet.Runs() {
		if r.Ended.IsZero() && r.Worker == l.info.Name && kindOf(r.Task) != kindLongRunning {
			w.lostJob.Store(r.Task[:len(id(0))])
		}
	}
	w.delay.Store(int64(100*time.Millisecond + w.upTo(400*time.Millisecond)))
	for range 12 {
		submit()
		time.Sleep(w.upTo(300 * time.Millisecond))
	}
	o, silent := w.owner(), link{fault: linkSilent, share: 100, until: time.Now().Add(4 * time.Second)}
	w.locked(func() { o.links[l.info.Name] = silent })
	w.replaceOwner()
	w.lostJob.Store("")
}

// harmStarts makes orders to a worker that answers holds fail, and submits jobs.
func (w *world) harmStarts(l *listening, submit func()) {
	spared := [][]string{{orderHold}, {orderHold, orderStop}}[w.schedule.IntN(2)]
	harmed := link{fault: []linkFault{linkMixes, linkFault(1 + w.schedule.IntN(int(linkFaults)-1))}[w.schedule.IntN(2)], share: 70, until: time.Now().Add(w.upTo(3 * time.Second)), spared: spared}
	w.locked(func() {
		for _, o := range w.owners {
			o.links[l.info.Name] = harmed
		}
	})
	for range 4 {
		submit()
	}
}

// harmLink makes orders to a worker fail, those of one owner or of all.
func (w *world) harmLink(l *listening) {
	harmed := link{fault: linkFault(1 + w.schedule.IntN(int(linkFaults)-1)), share: []int{40, 100, 100}[w.schedule.IntN(3)], until: time.Now().Add(6*time.Second + w.upTo(10*time.Second))}
	if w.schedule.IntN(2) == 0 {
		harmed.until = time.Now().Add(w.upTo(3 * time.Second))
	}
	harmed.spared = [][]string{nil, nil, {orderHold}, {orderHold, orderStop}}[w.schedule.IntN(4)]
	owners := w.owners
	if w.schedule.IntN(2) == 0 {
		owners = owners[w.schedule.IntN(len(owners)):][:1]
	}
	w.locked(func() {
		for _, o := range owners {
			o.links[l.info.Name] = harmed
		}
	})
}

// harmStore makes commits fail for a time.
func (w *world) harmStore() {
	share, until := 100, time.Now().Add(w.upTo(3*time.Second))
	if w.schedule.IntN(2) == 0 {
		share = 20
	}
	w.locked(func() { w.storeFails, w.storeFailsUntil = share, until })
}

func (w *world) storeFault(call string) keyspace.Fault {
	w.mu.Lock()
	share, until := w.storeFails, w.storeFailsUntil
	w.mu.Unlock()
	if call != "commit" || time.Now().After(until) || w.faults.IntN(100) >= share {
		return keyspace.FaultNone
	}
	return keyspace.Fault(1 + w.faults.IntN(int(keyspace.FaultLate)))
}

// replaceOwner replaces the owner, which stops, is killed or runs on.
func (w *world) replaceOwner() {
	o := w.owner()
	switch w.schedule.IntN(4) {
	case 0:
		o.stop()
	case 1:
		o.killed.Store(true)
		time.Sleep(w.upTo(3 * time.Second))
	case 2:
		o.cutOff.Store(true)
	}
	w.begin()
}

// heal ends all faults. Five workers are ready then.
func (w *world) heal() {
	w.delay.Store(0)
	w.listDelay.Store(0)
	w.lostJob.Store("")
	w.locked(func() {
		w.storeFailsUntil = time.Time{}
		for _, o := range w.owners {
			clear(o.links)
			o.suspendedUntil = time.Time{}
		}
		for _, l := range w.all {
			l.silentUntil, l.overwritten = time.Time{}, l.overwritten && l.up
		}
	})
	for len(w.all) < 5 {
		w.add("")
	}
	for _, l := range slices.Clone(w.all[:5]) {
		if !l.up {
			w.start(l)
		}
		w.setReady(l, true)
	}
}

// explorationJobs holds the IDs of the jobs.
type explorationJobs []string

// submit submits a job, again until it is accepted.
func (j *explorationJobs) submit(w *world) {
	kind := w.schedule.IntN(jobKinds)
	if kind == kindLongRunning && w.longRunning == maxLongRunning {
		// More would leave no room for others.
		kind = kindLong
	}
	name := id(len(*j)*16 + kind)
	*j = append(*j, name)
	steps := []job.Step{{Count: 1 + w.schedule.IntN(2)}}
	switch kind {
	case kindGang:
		steps = []job.Step{{Count: gangSize, Gang: true}}
	case kindSteps:
		steps = append(steps, job.Step{Count: 1, After: []int{0}})
	case kindLongRunning:
		w.longRunning++
		steps[0].Count, steps[0].LongRunning = 1, true
	}
	go func() {
		for w.owner().trySubmit(name, steps...) != nil {
			select {
			case <-w.ended:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
}

// await waits until all jobs have ended, or a time after which they must have, and returns
// the others.
func (j *explorationJobs) await(w *world) (unfinished []string) {
	remaining := slices.Clone(*j)
	for range 100 {
		time.Sleep(time.Second)
		unfinished = nil
		remaining = slices.DeleteFunc(remaining, func(name string) bool {
			phase, err := w.owner().State(job.ID(name))
			if w.mayRemain(name, phase) {
				return true
			}
			unfinished = append(unfinished, fmt.Sprint(name, ": ", phase, " ", err))
			return false
		})
		if len(remaining) == 0 {
			break
		}
	}
	return unfinished
}

// mayRemain reports whether a job may remain in a phase: it has completed, or has failed after
// two workers had crashed under one of its tasks, or is at work and never ends.
func (w *world) mayRemain(name, phase string) bool {
	runs := slices.DeleteFunc(w.fleet.Runs(), func(r runner.Run) bool { return !strings.HasPrefix(r.Task, name) })
	if phase == "failed" {
		return slices.ContainsFunc(runs, func(r runner.Run) bool { return w.fleet.CrashesUnder(r.Task) >= 2 })
	}
	if kindOf(name) == kindLongRunning {
		return slices.ContainsFunc(runs, func(r runner.Run) bool { return r.Ended.IsZero() })
	}
	return phase == "completed"
}
