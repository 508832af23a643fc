package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/runner"
)

// teamCaps holds the caps of teams, in tasks, with their changes.
type teamCaps struct {
	mu   sync.Mutex
	caps map[lovagestand.TeamName]int64
	// highest is the highest cap that each team has had, and changes are all caps with
	// their times.
	changes map[lovagestand.TeamName][]capChange
	absent  bool
}

type capChange struct {
	at  time.Time
	cap int64
}

func newTeamCaps(caps map[lovagestand.TeamName]int64) *teamCaps {
	t := &teamCaps{caps: map[lovagestand.TeamName]int64{}, changes: map[lovagestand.TeamName][]capChange{}}
	for team, limit := range caps {
		t.set(team, limit)
	}
	return t
}

func (t *teamCaps) set(team lovagestand.TeamName, limit int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caps[team] = limit
	t.changes[team] = append(t.changes[team], capChange{at: time.Now(), cap: limit})
}

// setAbsent sets whether no configuration has been read.
func (t *teamCaps) setAbsent(absent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.absent = absent
}

// teams implements [shard.Deps.Teams].
func (t *teamCaps) teams() (shard.Teams, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := shard.Teams{Enabled: true, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{}}
	for team, limit := range t.caps {
		quota := needs(lovagestand.Order{}).Times(limit)
		out.Policies[team] = lovagestand.TeamPolicy{Team: team, Weight: 1, Quota: &quota}
	}
	return out, !t.absent
}

// use has the owner of a term apply the caps.
func (t *teamCaps) use(d *shard.Deps) { d.Teams = t.teams }

// highest returns the highest cap in force in a period.
func (t *teamCaps) highest(team lovagestand.TeamName, from, until time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := int64(0)
	for i, c := range t.changes[team] {
		next := time.Time{}
		if i+1 < len(t.changes[team]) {
			next = t.changes[team][i+1].at
		}
		if !c.at.After(until) && (next.IsZero() || !next.Before(from)) {
			highest = max(highest, c.cap)
		}
	}
	return highest
}

// maxOrderDelay is how long before a start its order may have been decided on.
const maxOrderDelay = 300 * time.Millisecond

// assertCapsHeld checks for each start that its team ran no more than its cap then. The
// order of a start that was carried out late may be as old as the cell.
func (k *cell) assertCapsHeld(caps *teamCaps, teamOf func(task string) lovagestand.TeamName) {
	k.c.Helper()
	runs := k.fleet.Runs()
	for _, started := range runs {
		team := teamOf(started.Task)
		if _, capped := caps.changes[team]; !capped {
			continue
		}
		running := int64(0)
		for _, r := range runs {
			if teamOf(r.Task) == team && !r.Begun.After(started.Begun) && (r.Ended.IsZero() || r.Ended.After(started.Begun)) {
				running++
			}
		}
		from := started.Begun.Add(-maxOrderDelay)
		if started.Late {
			from = time.Time{}
		}
		k.c.Check(running <= caps.highest(team, from, started.Begun), qt.IsTrue, qt.Commentf("QUOTA: %d tasks of team %s run at %s", running, team, k.fleet.Describe(started)))
	}
}

// teamOfID returns the team in whose name the tests submit a job: the part of its ID
// before the dash.
func teamOfID(task string) lovagestand.TeamName {
	team, _, _ := strings.Cut(task, "-")
	return lovagestand.TeamName(team)
}

// teamID returns the ID of a job of a team.
func teamID(team lovagestand.TeamName, n int) string { return fmt.Sprintf("%s-%d", team, n) }

func (o *owner) submitFor(id string, steps ...job.Step) error {
	return o.submitJob(job.Job{ID: job.ID(id), Team: teamOfID(id), Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: steps})
}

func (o *owner) teamPhase(c *qt.C, id string) string {
	c.Helper()
	phase, err := o.Shard.State(context.Background(), job.ID(id), teamOfID(id))
	c.Assert(err, qt.IsNil, qt.Commentf("job %s", id))
	return phase
}

func (o *owner) teamStatus(team lovagestand.TeamName) shard.TeamStatus {
	for _, t := range o.Status().Teams {
		if t.Team == team {
			return t
		}
	}
	return shard.TeamStatus{}
}

// TestTeamStaysWithinItsCap guards against starts beyond the cap of a team, and against
// a backlog of a team at its cap that keeps the tasks of others waiting.
func TestTeamStaysWithinItsCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(time.Second, lovagestand.EndingDone))
		caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 5})
		o := k.beginTerm("a", caps.use)
		defer o.stop()
		time.Sleep(time.Second)
		for i := range 6 {
			c.Assert(o.submitFor(teamID("p", i), job.Step{Count: 12}), qt.IsNil)
		}
		time.Sleep(500 * time.Millisecond)
		c.Assert(k.fleet.Running(), qt.Equals, 5)
		status := o.teamStatus("p")
		c.Assert(status.Running, qt.Equals, needs(lovagestand.Order{}).Times(5))
		c.Assert(status.HeldTasks, qt.Equals, 67)
		c.Assert(status.Reason, qt.Equals, "the cap leaves no room")
		c.Assert(o.submitFor(teamID("q", 1), job.Step{Count: 11, Gang: true}), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		c.Assert(k.fleet.Running(), qt.Equals, 16)
		time.Sleep(20 * time.Second)
		for i := range 6 {
			c.Assert(o.teamPhase(c, teamID("p", i)), qt.Equals, "completed")
		}
		k.assertCapsHeld(caps, teamOfID)
		k.assertNoViolations()
	})
}

// TestJobBeyondTheCapIsRejected guards against jobs that wait although they can never run
// within the cap of their team.
func TestJobBeyondTheCapIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(time.Second, lovagestand.EndingDone))
		caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 5, "r": 0})
		o := k.beginTerm("a", caps.use)
		defer o.stop()
		time.Sleep(time.Second)
		var beyond *shard.QuotaError
		var rejected *shard.RejectedError
		err := o.submitFor(teamID("p", 1), job.Step{Count: 2}, job.Step{Count: 6, Gang: true})
		c.Assert(err, qt.ErrorAs, &beyond)
		c.Assert(beyond.Step, qt.Equals, 1)
		c.Assert(beyond.Needs, qt.Equals, needs(lovagestand.Order{}).Times(6))
		c.Assert(beyond.Quota, qt.Equals, needs(lovagestand.Order{}).Times(5))
		c.Assert(err, qt.ErrorAs, &rejected)
		c.Assert(rejected.OverLimit, qt.IsTrue)
		c.Assert(rejected.RetryAfter > 0, qt.IsTrue)
		c.Assert(o.submitFor(teamID("r", 1), job.Step{Count: 1}), qt.ErrorAs, &beyond)
		c.Assert(o.submitFor(teamID("p", 2), job.Step{Count: 6}), qt.IsNil)
		c.Assert(o.submitFor(teamID("p", 3), job.Step{Count: 5, Gang: true}), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(o.teamPhase(c, teamID("p", 2)), qt.Equals, "completed")
		c.Assert(o.teamPhase(c, teamID("p", 3)), qt.Equals, "completed")
		c.Assert(k.fleet.Starts(), qt.Equals, 11)
		k.assertCapsHeld(caps, teamOfID)
	})
}

// TestCapIsLoweredAndRaised guards against starts while a team uses more than a lowered
// cap, and against jobs that stay waiting after the cap was raised again.
func TestCapIsLoweredAndRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(2*time.Second, lovagestand.EndingDone))
		caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 12})
		o := k.beginTerm("a", caps.use)
		defer o.stop()
		time.Sleep(time.Second)
		c.Assert(o.submitFor(teamID("p", 1), job.Step{Count: 20}), qt.IsNil)
		c.Assert(o.submitFor(teamID("p", 2), job.Step{Count: 4, Gang: true}), qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		c.Assert(k.fleet.Running(), qt.Equals, 12)
		caps.set("p", 3)
		time.Sleep(time.Second)
		c.Assert(k.fleet.Running(), qt.Equals, 12, qt.Commentf("what runs continues"))
		time.Sleep(time.Second)
		c.Assert(k.fleet.Running(), qt.Equals, 3)
		c.Assert(o.teamStatus("p").TooLargeTasks, qt.Equals, 4)
		caps.set("p", 12)
		time.Sleep(250 * time.Millisecond)
		c.Assert(k.fleet.Running() > 3, qt.IsTrue)
		time.Sleep(10 * time.Second)
		for i := range 2 {
			c.Assert(o.teamPhase(c, teamID("p", i+1)), qt.Equals, "completed")
		}
		k.assertCapsHeld(caps, teamOfID)
		k.assertNoViolations()
	})
}

// TestNoTeamStartsWithoutAConfiguration guards against starts of a team whose cap is not
// known, and against other jobs that wait for the configuration.
func TestNoTeamStartsWithoutAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
		caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 2})
		caps.setAbsent(true)
		o := k.beginTerm("a", caps.use)
		defer o.stop()
		time.Sleep(time.Second)
		c.Assert(o.submitFor(teamID("p", 1), job.Step{Count: 1}), qt.IsNil)
		c.Assert(o.trySubmit(id(1), job.Step{Count: 1}), qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(k.fleet.Starts(), qt.Equals, 1)
		assertPhase(c, o, id(1), "completed")
		c.Assert(o.teamStatus("p").Reason, qt.Equals, "no configuration has been read")
		caps.setAbsent(false)
		time.Sleep(2 * time.Second)
		c.Assert(o.teamPhase(c, teamID("p", 1)), qt.Equals, "completed")
	})
}

// TestUnansweredWorkerIsCharged has a takeover after which one worker does not answer.
// What the team may have running there must be charged to it, and no more than that: the
// four tasks of a live job that no other worker lists; of a cancelled job, the capacity of
// the worker (4 cores, 1000 MiB) or what its tasks held when its end was written, if that
// is less. Of the eight tasks, the four on other workers may have ended before.
func TestUnansweredWorkerIsCharged(t *testing.T) {
	for name, cancelled := range map[string]bool{"of a live job": false, "of a cancelled job": true} {
		least := needs(lovagestand.Order{}).Times(4)
		most := least
		if cancelled {
			most.MemoryMiB = 800
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 4, always(time.Minute, lovagestand.EndingDone))
				caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 10})
				former := k.beginTerm("a", caps.use)
				defer former.stop()
				time.Sleep(time.Second)
				c.Assert(former.submitFor(teamID("p", 1), job.Step{Count: 8}), qt.IsNil)
				time.Sleep(100 * time.Millisecond)
				c.Assert(k.fleet.Running(), qt.Equals, 8)
				unreachable := k.fleet.Runs()[0].Worker
				k.fleet.SetUnreachable(unreachable, true)
				if cancelled {
					c.Assert(former.Cancel(context.Background(), job.ID(teamID("p", 1)), "p"), qt.IsNil)
					time.Sleep(400 * time.Millisecond)
				}
				former.stop()
				later := k.beginTerm("b", caps.use)
				defer later.stop()
				time.Sleep(time.Second)
				c.Assert(later.submitFor(teamID("p", 2), job.Step{Count: 12}), qt.IsNil)
				time.Sleep(time.Second)
				status := later.teamStatus("p")
				c.Assert(least.Fits(status.Unknown) && status.Unknown.Fits(most), qt.IsTrue, qt.Commentf("%v", status.Unknown))
				left := needs(lovagestand.Order{}).Times(10).Sub(status.Unknown).Sub(status.Running)
				c.Assert(left.Valid() && !needs(lovagestand.Order{}).Fits(left), qt.IsTrue, qt.Commentf("the rest of the cap is used: %v left", left))
				time.Sleep(20 * time.Second)
				k.assertCapsHeld(caps, teamOfID)
				k.assertNoViolations()
			})
		})
	}
}

// interruptedFleet is the fleet as one owner uses it, up to its call with the number at:
// that call and all later ones are interrupted, as those of a process that has crashed
// or is paused.
type interruptedFleet struct {
	*runner.Fleet
	at int64
	// after indicates that the call is carried out before the interruption.
	after bool
	// resumeAfter is how long the pause lasts; 0 for a crash. Calls are then carried out.
	resumeAfter time.Duration
	resumeAt    atomic.Int64
	// interrupted is called once at the interruption.
	interrupted func()
	calls       atomic.Int64
}

// call carries out one call, or interrupts it.
func (f *interruptedFleet) call(ctx context.Context, send func() error) error {
	n := f.calls.Add(1)
	if n < f.at {
		return send()
	}
	if n == f.at {
		if f.after {
			_ = send()
		}
		f.resumeAt.Store(time.Now().Add(f.resumeAfter).UnixNano())
		go f.interrupted()
	}
	if f.resumeAfter > 0 {
		time.Sleep(time.Until(time.Unix(0, f.resumeAt.Load())))
		return send()
	}
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "worker", Reason: ctx.Err().Error()}
}

func (f *interruptedFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (clock lovagestand.WorkerClock, err error) {
	err = f.call(ctx, func() error { clock, err = f.Fleet.Start(ctx, w, o); return err })
	return clock, err
}

func (f *interruptedFleet) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (clock lovagestand.WorkerClock, err error) {
	err = f.call(ctx, func() error { clock, err = f.Fleet.Stop(ctx, w, task, run, epoch); return err })
	return clock, err
}

func (f *interruptedFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (reply lovagestand.HoldReply, err error) {
	err = f.call(ctx, func() error { reply, err = f.Fleet.Hold(ctx, w, r); return err })
	return reply, err
}

// TestCapAtEveryStepOfATakeover interrupts an owner at each of its calls to workers,
// before or after the call is carried out, by a crash or a pause, and has another owner
// take over. One worker is cut off from then on.
func TestCapAtEveryStepOfATakeover(t *testing.T) {
	for _, after := range []bool{false, true} {
		for _, resumeAfter := range []time.Duration{0, 150 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("after %v, pause %v", after, resumeAfter), func(t *testing.T) {
				for at := int64(1); ; at++ {
					reached := false
					synctest.Test(t, func(t *testing.T) { reached = interruptAt(t, at, after, resumeAfter) })
					if !reached {
						break
					}
				}
			})
		}
	}
}

// interruptAt runs one scenario and reports whether the owner made the call.
func interruptAt(t *testing.T, at int64, after bool, resumeAfter time.Duration) bool {
	c := qt.New(t)
	k := newCell(c, 4, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		return time.Duration(300+len(o.Task)*37%5*100) * time.Millisecond, lovagestand.EndingDone
	})
	caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 5, "q": 3})
	var reached atomic.Bool
	var interruptedAt atomic.Int64
	interruption := make(chan struct{})
	fleet := &interruptedFleet{Fleet: k.fleet, at: at, after: after, resumeAfter: resumeAfter, interrupted: func() {
		interruptedAt.Store(time.Now().UnixNano())
		reached.Store(true)
		close(interruption)
	}}
	former := k.beginTerm("a", caps.use, func(d *shard.Deps) {
		d.Fleet = fleet
		d.Assured = func() bool {
			return !reached.Load() || time.Since(time.Unix(0, interruptedAt.Load())) < overlap
		}
	})
	// Calls that are still paused must end within the scenario.
	defer time.Sleep(resumeAfter)
	defer former.stop()
	time.Sleep(100 * time.Millisecond)
	submit := func(o *owner, first int) {
		for i := range 3 {
			_ = o.submitFor(teamID("p", first+i), job.Step{Count: 3, Gang: i == 1}, job.Step{Count: 2, After: []int{0}})
			_ = o.submitFor(teamID("q", first+i), job.Step{Count: 2}, job.Step{Count: 3, Gang: true, After: []int{0}})
		}
	}
	go submit(former, 0)
	go func() {
		time.Sleep(700 * time.Millisecond)
		_ = former.Cancel(context.Background(), job.ID(teamID("p", 0)), "p")
	}()
	select {
	case <-interruption:
	case <-time.After(4 * time.Second):
		return false
	}
	time.Sleep(50 * time.Millisecond)
	k.fleet.SetUnreachable(lovagestand.WorkerName(fmt.Sprintf("w%d", at%4)), at%3 > 0)
	later := k.beginTerm("b", caps.use)
	defer later.stop()
	submit(later, 10)
	time.Sleep(30 * time.Second)
	for i := range 3 {
		for _, team := range []lovagestand.TeamName{"p", "q"} {
			c.Check(later.teamPhase(c, teamID(team, 10+i)), qt.Equals, "completed", qt.Commentf("interrupted at call %d", at))
		}
	}
	k.assertCapsHeld(caps, teamOfID)
	k.assertNoViolations()
	return true
}

// TestExplorationOfCaps runs random scenarios, one for each seed, with lost and late
// orders, workers that are cut off or restart, cancellations, owners that are replaced at
// any time, and caps that change. No start may bring a team above its cap.
func TestExplorationOfCaps(t *testing.T) {
	for seed := range uint64(80) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreCaps(t, seed) })
		})
	}
}

func exploreCaps(t *testing.T, seed uint64) {
	c := qt.New(t)
	random := &sharedRandom{source: rand.New(rand.NewPCG(seed, 3))}
	k := newCell(c, 5, func(lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		ending := lovagestand.EndingDone
		if random.IntN(20) == 0 {
			ending = lovagestand.EndingFailed
		}
		return time.Duration(100+random.IntN(1500)) * time.Millisecond, ending
	})
	teams := []lovagestand.TeamName{"p", "q", "r"}
	caps := newTeamCaps(map[lovagestand.TeamName]int64{"p": 5, "q": 9})
	pause := func(maxMillis int) { time.Sleep(time.Duration(random.IntN(maxMillis)) * time.Millisecond) }
	var current atomic.Pointer[owner]
	begin := func(name string) (stop func()) {
		var replacedAt atomic.Int64
		o := k.beginTerm(name, caps.use, func(d *shard.Deps) {
			d.Assured = func() bool { at := replacedAt.Load(); return at == 0 || time.Now().UnixNano() < at }
		})
		current.Store(o)
		return func() {
			replacedAt.Store(time.Now().Add(time.Duration(random.IntN(int(overlap)))).UnixNano())
			if random.IntN(2) == 0 {
				o.stop()
			}
		}
	}
	var owners []*owner
	stop := begin("0")
	owners = append(owners, current.Load())
	k.fleet.SetFault(func(lovagestand.WorkerName, string) runner.Fault {
		if random.IntN(12) > 0 {
			return runner.FaultNone
		}
		return runner.Fault(random.IntN(5))
	})
	var calling sync.WaitGroup
	var accepted sync.Map
	for i := range 40 {
		calling.Go(func() {
			pause(12000)
			id := teamID(teams[random.IntN(len(teams))], i)
			err := current.Load().submitFor(id, job.Step{Count: 1 + random.IntN(6)}, job.Step{Count: 1 + random.IntN(4), Gang: true, After: []int{0}})
			if err == nil {
				accepted.Store(id, true)
			}
			if random.IntN(4) == 0 {
				pause(2000)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_ = current.Load().Cancel(ctx, job.ID(id), teamOfID(id))
			}
		})
	}
	for i := range 12 {
		pause(2000)
		switch random.IntN(6) {
		case 0, 1:
			stop()
			stop = begin(fmt.Sprint(i + 1))
			owners = append(owners, current.Load())
		case 2:
			k.fleet.SetUnreachable(lovagestand.WorkerName(fmt.Sprintf("w%d", random.IntN(5))), random.IntN(2) == 0)
		case 3:
			k.restart(random.IntN(5))
		case 4:
			caps.set(teams[random.IntN(2)], 4+int64(random.IntN(8)))
		case 5:
			k.fleet.ApplyLate()
		}
	}
	calling.Wait()
	k.fleet.SetFault(nil)
	k.fleet.ApplyLate()
	for i := range 5 {
		k.fleet.SetUnreachable(lovagestand.WorkerName(fmt.Sprintf("w%d", i)), false)
	}
	time.Sleep(time.Minute)
	last := current.Load()
	accepted.Range(func(id, _ any) bool {
		phase := last.teamPhase(c, id.(string))
		c.Check(phase == "completed" || phase == "cancelled" || phase == "failed", qt.IsTrue, qt.Commentf("job %s: %s", id, phase))
		return true
	})
	for _, o := range owners {
		o.stop()
	}
	k.assertCapsHeld(caps, teamOfID)
	k.assertNoViolations()
}

// TestQuotaErrorIsARejection guards against a rejection that is reported to callers as an
// unknown outcome.
func TestQuotaErrorIsARejection(t *testing.T) {
	c := qt.New(t)
	var rejected *shard.RejectedError
	var err error = &shard.QuotaError{Team: "p", Quota: needs(lovagestand.Order{})}
	c.Assert(errors.As(err, &rejected), qt.IsTrue)
	c.Assert(rejected.OverLimit, qt.IsTrue)
}
