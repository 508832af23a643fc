package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/runner"
)

const (
	task      = "5c0e7a21d94b36f8.0.0.0"
	otherTask = "5c0e7a21d94b36f8.0.0.1"
	// work is the duration of each run.
	work = time.Second
)

// fixture is a fleet of two workers, with methods that send orders to them.
type fixture struct {
	c       *qt.C
	fleet   *runner.Fleet
	workers [2]lovagestand.FleetWorker
}

func newFixture(t *testing.T, options ...runner.Option) *fixture {
	needs := func(lovagestand.Order) lovagestand.Resources { return lovagestand.Resources{MilliCPU: 1000} }
	done := func(lovagestand.Order) (time.Duration, lovagestand.RunEnding) { return work, lovagestand.EndingDone }
	p := &fixture{c: qt.New(t), fleet: runner.New(needs, done, options...)}
	for i, name := range []lovagestand.WorkerName{"w0", "w1"} {
		p.workers[i] = p.fleet.Add(name, lovagestand.Resources{MilliCPU: 4000})
	}
	return p
}

func (p *fixture) start(worker int, task string, run int64) {
	o := lovagestand.Order{Task: task, Run: run, Epoch: 1, Until: time.Minute.Milliseconds()}
	_, err := p.fleet.Start(p.c.Context(), p.workers[worker], o)
	p.c.Assert(err, qt.IsNil)
}

func (p *fixture) hold(worker int, seen int64) lovagestand.HoldReply {
	h, err := p.fleet.Hold(p.c.Context(), p.workers[worker], lovagestand.HoldRequest{Epoch: 1, Seen: seen})
	p.c.Assert(err, qt.IsNil)
	return h
}

// TestDuplicateRunViolations guards the detection of tasks that run again although
// they still run or their end was acknowledged. Each case starts a task on the
// first worker and then runs steps that violate this rule or comply with it.
func TestDuplicateRunViolations(t *testing.T) {
	for name, test := range map[string]struct {
		steps     func(p *fixture)
		violation string
	}{
		"another run at the same time": {func(p *fixture) { p.start(1, task, 2) }, "TWICE: .* starts while .*"},
		"a start after an acknowledged end": {func(p *fixture) {
			time.Sleep(2 * work)
			p.hold(0, 1)
			p.start(1, task, 2)
		}, "TWICE: .* starts after .*"},
		"a start after an end that is acknowledged later": {func(p *fixture) {
			time.Sleep(2 * work)
			p.start(1, task, 2)
			p.hold(0, 1)
		}, "TWICE: .* began after .*"},
		"the lease ran out before the end was acknowledged": {func(p *fixture) {
			time.Sleep(runner.MaxLease + work)
			p.start(1, task, 2)
			p.hold(0, 1)
		}, ""},
		"the worker crashed before the end was acknowledged": {func(p *fixture) {
			time.Sleep(2 * work)
			p.fleet.Add("w0", lovagestand.Resources{MilliCPU: 4000})
			p.start(1, task, 2)
			p.hold(0, 1)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture(t)
				p.start(0, task, 1)
				test.steps(p)
				if test.violation == "" {
					p.c.Assert(p.fleet.Violations(), qt.HasLen, 0)
					return
				}
				p.c.Assert(p.fleet.Violations(), qt.HasLen, 1)
				p.c.Assert(p.fleet.Violations()[0], qt.Matches, test.violation)
			})
		})
	}
}

func TestEndsUpToTheHighestNumberAcknowledgedAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		p.hold(0, 1)
		p.start(0, task, 1)
		time.Sleep(2 * work)
		p.c.Assert(p.hold(0, 0).Ended, qt.HasLen, 0)
	})
}

func TestGang(t *testing.T) {
	gang := runner.WithGangs(func(lovagestand.Order) int { return 2 })
	endings := func(p *fixture) (how [2]lovagestand.RunEnding) {
		for i, r := range p.fleet.Runs() {
			how[i] = r.Ending
		}
		return how
	}
	t.Run("members end together", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newFixture(t, gang)
			p.start(0, task, 1)
			time.Sleep(work)
			p.start(1, otherTask, 1)
			time.Sleep(2 * work)
			p.c.Assert(endings(p), qt.Equals, [2]lovagestand.RunEnding{lovagestand.EndingDone, lovagestand.EndingDone})
			// The acknowledged end of one member counts for the other.
			p.hold(0, 1)
			p.start(0, otherTask, 2)
			p.c.Assert(p.fleet.Violations(), qt.HasLen, 1)
		})
	})
	t.Run("a stop breaks the others", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newFixture(t, gang)
			p.start(0, task, 1)
			p.start(1, otherTask, 1)
			_, err := p.fleet.Stop(p.c.Context(), p.workers[0], task, 1, 1)
			p.c.Assert(err, qt.IsNil)
			p.c.Assert(endings(p), qt.Equals, [2]lovagestand.RunEnding{lovagestand.EndingStopped, lovagestand.EndingBroken})
		})
	})
	t.Run("a member waits alone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newFixture(t, gang)
			p.start(0, task, 1)
			time.Sleep(5 * work)
			p.c.Assert(endings(p)[0], qt.Equals, lovagestand.EndingAlone)
		})
	})
}

func TestStopTakesTimeAndSavesTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stopTime = 300 * time.Millisecond
		saved := func(_ lovagestand.Order, worked time.Duration) string { return worked.String() }
		p := newFixture(t, runner.WithStopTime(stopTime), runner.WithCheckpoints(saved))
		p.start(0, task, 1)
		time.Sleep(work / 2)
		_, err := p.fleet.Stop(p.c.Context(), p.workers[0], task, 1, 1)
		p.c.Assert(err, qt.IsNil)
		p.c.Assert(p.hold(0, 0).Running, qt.HasLen, 1)
		time.Sleep(stopTime)
		synctest.Wait()
		p.c.Assert(p.hold(0, 0).Ended, qt.DeepEquals, []lovagestand.EndedTask{{
			Number: 1, Task: task, Run: 1, Ending: lovagestand.EndingStopped, Checkpoint: (work / 2).String(),
		}})
	})
}
