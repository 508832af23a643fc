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
	epoch = time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
	body  = fleet.Work{RunFor: fleet.Span(time.Hour), AnswerBytes: 200}.Body()
	quart = lovagestand.Resources{MilliCPU: 8000, MemoryMiB: 32 << 10, Accelerators: 1}
)

// scene is an auditor that watches two workers.
type scene struct {
	*qt.C
	auditor *audit.Auditor
	fleet   *fleet.Fleet
}

func newScene(c *qt.C) scene {
	specs := fleet.Glazedesk().WithWorkers(2).Specs()
	a := audit.New(specs)
	return scene{C: c, auditor: a, fleet: fleet.New(specs, a)}
}

// start starts a task of the key "k" on worker n.
func (s scene) start(n int, id lovagestand.TaskID, change func(*lovagestand.Task)) {
	s.Helper()
	t := lovagestand.Task{ID: id, Key: "k", Resources: quart, Exclusive: true, Checkpoints: true}
	change(&t)
	w := s.fleet.Workers()[n]
	s.Assert(w.Start(s.Context(), lovagestand.TaskStart{Task: t, Body: body}), qt.IsNil)
}

func (s scene) stop(n int, id lovagestand.TaskID) {
	s.Helper()
	s.Assert(s.fleet.Workers()[n].Stop(s.Context(), []lovagestand.TaskID{id}), qt.IsNil)
}

// assertOnly checks that the kinds given, and nothing else, were counted once.
func (s scene) assertOnly(kinds ...audit.Kind) {
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

func same(*lovagestand.Task) {}

func idempotent(t *lovagestand.Task) { t.Idempotent, t.Exclusive = true, false }

func answer(outcome lovagestand.Outcome, body []byte) lovagestand.Answer {
	return lovagestand.Answer{Key: "k", Outcome: outcome, Body: body}
}

func TestSoundRunIsNoViolation(t *testing.T) {
	s := newScene(qt.New(t))
	s.auditor.Submitted("k", fleet.Answer("k", body))
	s.start(0, "t1", same)
	text, err := s.fleet.Workers()[0].Checkpoint(s.Context(), "t1")
	s.Assert(err, qt.IsNil)
	s.Assert(s.fleet.Workers()[1].Start(s.Context(), lovagestand.TaskStart{
		Task: lovagestand.Task{ID: "t2", Key: "k", Exclusive: true}, Checkpoint: text, Body: body,
	}), qt.IsNil)
	s.Assert(s.auditor.Usage().Running, qt.Equals, 1)
	s.stop(1, "t2")
	s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeDone, fleet.Answer("k", body)))
	s.auditor.Close(epoch)
	s.assertOnly()
	s.Assert(s.auditor.Usage(), qt.Equals, audit.Usage{Starts: 2})
}

func TestOverCommitOfEachResource(t *testing.T) {
	whole := fleet.Glazedesk().Specs()[0].Capacity
	tests := []struct {
		name string
		take lovagestand.Resources
	}{
		{"processors", lovagestand.Resources{MilliCPU: whole.MilliCPU}},
		{"memory", lovagestand.Resources{MemoryMiB: whole.MemoryMiB}},
		{"accelerators", lovagestand.Resources{Accelerators: whole.Accelerators}},
	}
	for _, tt := range tests {
		qt.New(t).Run(tt.name, func(c *qt.C) {
			s := newScene(c)
			take := func(t *lovagestand.Task) { idempotent(t); t.Resources = tt.take }
			s.start(0, "t1", take)
			s.stop(0, "t1")
			s.start(0, "t2", take)
			s.assertOnly()
			s.start(0, "t3", func(t *lovagestand.Task) { idempotent(t); t.Resources = one(tt.take) })
			s.assertOnly(audit.KindOverCommit)
		})
	}
}

// one returns one unit of each resource that r has.
func one(r lovagestand.Resources) lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU: min(1, r.MilliCPU), MemoryMiB: min(1, r.MemoryMiB), Accelerators: min(1, r.Accelerators),
	}
}

func TestBrokenPromises(t *testing.T) {
	exclusive := func(t *lovagestand.Task) { t.Idempotent = true }
	gang := func(t *lovagestand.Task) { t.GangSize = 2 }
	whole := fleet.Answer("k", body)
	tests := []struct {
		name string
		act  func(scene)
		want []audit.Kind
	}{
		{"double run", func(s scene) {
			s.start(0, "t1", exclusive)
			s.start(1, "t2", exclusive)
		}, []audit.Kind{audit.KindDoubleRun}},
		{"one after the other", func(s scene) {
			s.start(0, "t1", exclusive)
			s.stop(0, "t1")
			s.start(1, "t2", exclusive)
		}, nil},
		{"repeated", func(s scene) {
			s.start(0, "t1", same)
			s.stop(0, "t1")
			s.start(1, "t2", same)
		}, []audit.Kind{audit.KindRepeated}},
		{"gang", func(s scene) {
			s.start(0, "t1", gang)
			s.start(1, "t2", gang)
		}, nil},
		{"gang with one too many", func(s scene) {
			s.start(0, "t1", gang)
			s.start(1, "t2", gang)
			s.start(1, "t3", gang)
		}, []audit.Kind{audit.KindDoubleRun, audit.KindRepeated}},
		{"not run after a start", func(s scene) {
			s.start(0, "t1", same)
			s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeNotRun, nil))
		}, []audit.Kind{audit.KindFalseNotRun}},
		{"start after not run", func(s scene) {
			s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeNotRun, nil))
			s.start(0, "t1", same)
		}, []audit.Kind{audit.KindFalseNotRun}},
		{"unknown says nothing", func(s scene) {
			s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeUnknown, nil))
			s.start(0, "t1", same)
		}, nil},
		{"partial answer", func(s scene) {
			s.auditor.Submitted("k", fleet.Answer("k", body))
			s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeDone, whole[:len(whole)-1]))
		}, []audit.Kind{audit.KindWrongAnswer}},
		{"answer to another", func(s scene) {
			s.auditor.Submitted("k", fleet.Answer("k", body))
			s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeDone, fleet.Answer("j", body)))
		}, []audit.Kind{audit.KindWrongAnswer}},
		{"another key", func(s scene) {
			s.auditor.Answered(epoch, "j", answer(lovagestand.OutcomeDone, whole))
		}, []audit.Kind{audit.KindWrongAnswer}},
		{"no answer", func(s scene) {
			s.auditor.Submitted("k", fleet.Answer("k", body))
			s.auditor.Answered(epoch, "k", answer(lovagestand.OutcomeWaiting, nil))
			s.auditor.Close(epoch)
		}, []audit.Kind{audit.KindNoAnswer}},
		{"cut off", func(s scene) {
			s.auditor.CutOff(epoch, "k", "i1", "connection broken")
		}, []audit.Kind{audit.KindCutOff}},
		{"reverted", func(s scene) {
			s.auditor.InForce(epoch, "i1", 2)
			s.auditor.InForce(epoch, "i2", 1)
			s.auditor.InForce(epoch, "i1", 1)
		}, []audit.Kind{audit.KindReverted}},
		{"undone", func(s scene) {
			s.auditor.ChangeLost(epoch, "i1", "pool showroom")
		}, []audit.Kind{audit.KindReverted}},
	}
	for _, tt := range tests {
		qt.New(t).Run(tt.name, func(c *qt.C) {
			s := newScene(c)
			tt.act(s)
			s.assertOnly(tt.want...)
		})
	}
}

func TestLeavingWorker(t *testing.T) {
	s := newScene(qt.New(t))
	w := s.fleet.Specs()[0].WithLeaving(true)
	offer := lovagestand.TaskStart{Task: lovagestand.Task{ID: "t1", Key: "k"}}
	s.auditor.Left(epoch, w)
	s.auditor.Offered(epoch.Add(audit.LeavingGrace), w, offer)
	s.assertOnly()
	s.auditor.Offered(epoch.Add(audit.LeavingGrace+time.Millisecond), w, offer)
	s.assertOnly(audit.KindLeavingWorker)
}
