package naive_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool/naive"
)

var startTime = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

// newDecider returns a decider with two workers of four cores in the pool
// "showroom".
func newDecider() *naive.Decider {
	d := naive.New("malabar/r1")
	for _, name := range []lovagestand.WorkerName{"w1", "w2"} {
		d.SetWorker(startTime, lovagestand.Worker{
			Name: name, Slots: 8, FailureDomain: lovagestand.FailureDomain(name),
			Capacity: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 4096},
		}, "showroom")
	}
	return d
}

func newTask(id string, class lovagestand.Class, milliCPU int64) lovagestand.Task {
	return lovagestand.Task{
		ID: lovagestand.TaskID(id), Pool: "showroom", Class: class, Route: "quotes", Team: "counter",
		Resources: lovagestand.Resources{MilliCPU: milliCPU, MemoryMiB: 64}, Checkpoints: true,
	}
}

func formatDecisions(decisions []lovagestand.Decision) []string {
	var out []string
	for _, d := range decisions {
		out = append(out, fmt.Sprintf("%s %s %s", d.Kind, d.Task.ID, d.Worker))
	}
	return out
}

func TestDecide(t *testing.T) {
	gang := func(id string) lovagestand.Task {
		g := newTask(id, lovagestand.ClassGang, 3000)
		g.Gang, g.GangSize = "g", 2
		return g
	}
	late := newTask("late", lovagestand.ClassBatch, 1000)
	late.StartBy = startTime
	for name, test := range map[string]struct {
		tasks []lovagestand.Task
		want  []string
	}{
		"packs batch":            {[]lovagestand.Task{newTask("a", "batch", 2000), newTask("b", "batch", 2000)}, []string{"start a w1", "start b w1"}},
		"spreads services":       {[]lovagestand.Task{newTask("a", "service", 1000), newTask("b", "service", 1000)}, []string{"start a w1", "start b w2"}},
		"starts urgent first":    {[]lovagestand.Task{newTask("a", "batch", 4000), newTask("b", "urgent", 4000)}, []string{"start b w1", "start a w2"}},
		"starts a whole gang":    {[]lovagestand.Task{gang("a"), gang("b")}, []string{"start a w1", "start b w2"}},
		"holds back half a gang": {[]lovagestand.Task{gang("a")}, nil},
		"expires":                {[]lovagestand.Task{late}, []string{"expire late "}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newDecider()
			for _, task := range test.tasks {
				c.Assert(d.Submit(startTime, task), qt.IsNil)
			}
			c.Assert(formatDecisions(d.Decide(startTime, nil)), qt.DeepEquals, test.want)
		})
	}
}

func TestUrgentPreemptsBatch(t *testing.T) {
	c := qt.New(t)
	d := newDecider()
	for _, id := range []string{"a", "b"} {
		c.Assert(d.Submit(startTime, newTask(id, lovagestand.ClassBatch, 3000)), qt.IsNil)
	}
	d.Decide(startTime, nil)
	c.Assert(d.Submit(startTime, newTask("u", lovagestand.ClassUrgent, 3000)), qt.IsNil)
	c.Assert(formatDecisions(d.Decide(startTime, nil)), qt.DeepEquals, []string{"preempt a w1"})
	c.Assert(d.Decide(startTime, nil), qt.HasLen, 0)
	d.Finish(startTime, "a", lovagestand.TaskResult{Phase: lovagestand.TaskStopped})
	c.Assert(formatDecisions(d.Decide(startTime, nil)), qt.DeepEquals, []string{"start u w1"})
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	d := newDecider()
	d.SetPolicies([]lovagestand.PoolPolicy{{Pool: "showroom", QueueLimit: 1}})
	var unfit *lovagestand.InfeasibleError
	c.Assert(d.Submit(startTime, newTask("a", lovagestand.ClassBatch, 4001)), qt.ErrorAs, &unfit)
	c.Assert(d.Submit(startTime, newTask("b", lovagestand.ClassBatch, 4000)), qt.IsNil)
	var full *lovagestand.QueueFullError
	c.Assert(d.Submit(startTime, newTask("c", lovagestand.ClassBatch, 1)), qt.ErrorAs, &full)
	c.Assert(d.Cancel("b"), qt.IsTrue)
	c.Assert(d.Explain(startTime, "b"), qt.Equals, "not known in this shard")
}
