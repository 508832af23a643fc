package audit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/standin/fleet"
)

var (
	now           = time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
	body          = fleet.Work{RunFor: fleet.Duration(time.Hour), AnswerBytes: 200}.Body()
	taskResources = lovagestand.Resources{MilliCPU: 8000, MemoryMiB: 32 << 10, Accelerators: 1}
)

// fixture is an auditor that observes two workers.
type fixture struct {
	*qt.C
	auditor *audit.Auditor
	fleet   *fleet.Fleet
}

func newFixture(c *qt.C) fixture {
	specs := fleet.Glazedesk().WithWorkers(2).Specs()
	a := audit.New(specs)
	return fixture{C: c, auditor: a, fleet: fleet.New(specs, a)}
}

// start starts a task of the key "k" on the n-th worker; change adapts the task
// beforehand.
func (s fixture) start(n int, id lovagestand.TaskID, change func(*lovagestand.Task)) {
	s.Helper()
	t := lovagestand.Task{ID: id, Key: "k", Resources: taskResources, Exclusive: true, Checkpoints: true}
	change(&t)
	w := s.fleet.Workers()[n]
	s.Assert(w.Start(s.Context(), lovagestand.TaskStart{Task: t, Body: body}), qt.IsNil)
}

func (s fixture) stop(n int, id lovagestand.TaskID) {
	s.Helper()
	s.Assert(s.fleet.Workers()[n].Stop(s.Context(), []lovagestand.TaskID{id}), qt.IsNil)
}

// assertOnly checks that there is exactly one violation of each given kind and no
// other, and that each has evidence.
func (s fixture) assertOnly(kinds ...audit.Kind) {
	s.Helper()
	r := s.auditor.Result()
	s.Assert(r.Total(), qt.Equals, len(kinds), qt.Commentf("%v", r.Violations))
	for _, k := range kinds {
		s.Assert(r.Of(k), qt.Equals, 1, qt.Commentf("%v", r.Violations))
	}
	for _, v := range r.Violations {
		s.Assert(v.Evidence, qt.Not(qt.Equals), "")
	}
}

func unchanged(*lovagestand.Task) {}

func idempotent(t *lovagestand.Task) { t.Idempotent, t.Exclusive = true, false }

func answer(outcome lovagestand.Outcome, body []byte) lovagestand.Answer {
	return lovagestand.Answer{Key: "k", Outcome: outcome, Body: body}
}

func TestCorrectRunHasNoViolations(t *testing.T) {
	s := newFixture(qt.New(t))
	s.auditor.Submitted("k", fleet.Answer("k", body))
	s.start(0, "t1", unchanged)
	text, err := s.fleet.Workers()[0].Checkpoint(s.Context(), "t1")
	s.Assert(err, qt.IsNil)
	s.Assert(s.fleet.Workers()[1].Start(s.Context(), lovagestand.TaskStart{
		Task: lovagestand.Task{ID: "t2", Key: "k", Exclusive: true}, Checkpoint: text, Body: body,
	}), qt.IsNil)
	s.Assert(s.auditor.Usage().Running, qt.Equals, 1)
	s.stop(1, "t2")
	s.auditor.Answered(now, "k", answer(lovagestand.OutcomeDone, fleet.Answer("k", body)))
	s.auditor.Close(now)
	s.assertOnly()
	s.Assert(s.auditor.Usage(), qt.Equals, audit.Usage{Starts: 2})
}

func TestOverCommitOfEachResource(t *testing.T) {
	capacity := fleet.Glazedesk().Specs()[0].Capacity
	tests := []struct {
		name string
		take lovagestand.Resources
	}{
		{"processors", lovagestand.Resources{MilliCPU: capacity.MilliCPU}},
		{"memory", lovagestand.Resources{MemoryMiB: capacity.MemoryMiB}},
		{"accelerators", lovagestand.Resources{Accelerators: capacity.Accelerators}},
	}
	for _, tt := range tests {
		qt.New(t).Run(tt.name, func(c *qt.C) {
			s := newFixture(c)
			take := func(t *lovagestand.Task) { idempotent(t); t.Resources = tt.take }
			s.start(0, "t1", take)
			s.stop(0, "t1")
			s.start(0, "t2", take)
			s.assertOnly()
			s.start(0, "t3", func(t *lovagestand.Task) { idempotent(t); t.Resources = unitOf(tt.take) })
			s.assertOnly(audit.KindOverCommit)
		})
	}
}

// unitOf returns one unit of each resource that r has.
func unitOf(r lovagestand.Resources) lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU: min(1, r.MilliCPU), MemoryMiB: min(1, r.MemoryMiB), Accelerators: min(1, r.Accelerators),
	}
}

func TestViolations(t *testing.T) {
	exclusive := func(t *lovagestand.Task) { t.Idempotent = true }
	gang := func(t *lovagestand.Task) { t.GangSize = 2 }
	wholeAnswer := fleet.Answer("k", body)
	tests := []struct {
		name string
		act  func(fixture)
		want []audit.Kind
	}{
		{"double run", func(s fixture) {
			s.start(0, "t1", exclusive)
			s.start(1, "t2", exclusive)
		}, []audit.Kind{audit.KindDoubleRun}},
		{"exclusive runs in sequence", func(s fixture) {
			s.start(0, "t1", exclusive)
			s.stop(0, "t1")
			s.start(1, "t2", exclusive)
		}, nil},
		{"repeated", func(s fixture) {
			s.start(0, "t1", unchanged)
			s.stop(0, "t1")
			s.start(1, "t2", unchanged)
		}, []audit.Kind{audit.KindRepeated}},
		{"gang", func(s fixture) {
			s.start(0, "t1", gang)
			s.start(1, "t2", gang)
		}, nil},
		{"gang with one task too many", func(s fixture) {
			s.start(0, "t1", gang)
			s.start(1, "t2", gang)
			s.start(1, "t3", gang)
		}, []audit.Kind{audit.KindDoubleRun, audit.KindRepeated}},
		{"not run after a start", func(s fixture) {
			s.start(0, "t1", unchanged)
			s.auditor.Answered(now, "k", answer(lovagestand.OutcomeNotRun, nil))
		}, []audit.Kind{audit.KindFalseNotRun}},
		{"start after not run", func(s fixture) {
			s.auditor.Answered(now, "k", answer(lovagestand.OutcomeNotRun, nil))
			s.start(0, "t1", unchanged)
		}, []audit.Kind{audit.KindFalseNotRun}},
		{"start after unknown outcome", func(s fixture) {
			s.auditor.Answered(now, "k", answer(lovagestand.OutcomeUnknown, nil))
			s.start(0, "t1", unchanged)
		}, nil},
		{"partial answer", func(s fixture) {
			s.auditor.Submitted("k", fleet.Answer("k", body))
			s.auditor.Answered(now, "k", answer(lovagestand.OutcomeDone, wholeAnswer[:len(wholeAnswer)-1]))
		}, []audit.Kind{audit.KindWrongAnswer}},
		{"body of another answer", func(s fixture) {
			s.auditor.Submitted("k", fleet.Answer("k", body))
			s.auditor.Answered(now, "k", answer(lovagestand.OutcomeDone, fleet.Answer("j", body)))
		}, []audit.Kind{audit.KindWrongAnswer}},
		{"answer with another key", func(s fixture) {
			s.auditor.Answered(now, "j", answer(lovagestand.OutcomeDone, wholeAnswer))
		}, []audit.Kind{audit.KindWrongAnswer}},
		{"no answer", func(s fixture) {
			s.auditor.Submitted("k", fleet.Answer("k", body))
			s.auditor.Answered(now, "k", answer(lovagestand.OutcomeWaiting, nil))
			s.auditor.Close(now)
		}, []audit.Kind{audit.KindNoAnswer}},
		{"cut off", func(s fixture) {
			s.auditor.CutOff(now, "k", "i1", "connection broken")
		}, []audit.Kind{audit.KindCutOff}},
		{"reverted", func(s fixture) {
			s.auditor.InForce(now, "i1", 2)
			s.auditor.InForce(now, "i2", 1)
			s.auditor.InForce(now, "i1", 1)
		}, []audit.Kind{audit.KindReverted}},
		{"change lost", func(s fixture) {
			s.auditor.ChangeLost(now, "i1", "pool showroom")
		}, []audit.Kind{audit.KindReverted}},
	}
	for _, tt := range tests {
		qt.New(t).Run(tt.name, func(c *qt.C) {
			s := newFixture(c)
			tt.act(s)
			s.assertOnly(tt.want...)
		})
	}
}

func TestLeavingWorker(t *testing.T) {
	s := newFixture(qt.New(t))
	w := s.fleet.Specs()[0].WithLeaving(true)
	offer := lovagestand.TaskStart{Task: lovagestand.Task{ID: "t1", Key: "k"}}
	s.auditor.Leaving(now, w)
	s.auditor.Offered(now.Add(audit.LeavingGrace), w, offer)
	s.assertOnly()
	s.auditor.Offered(now.Add(audit.LeavingGrace+time.Millisecond), w, offer)
	s.assertOnly(audit.KindLeavingWorker)
}
