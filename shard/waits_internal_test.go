package shard

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

// waitLine is a line of the log about a wait.
type waitLine struct {
	Message       string
	Step          string
	Reason        dispatch.WaitReason
	AgeSeconds    float64
	JobAgeSeconds float64
	Tasks         int
	Gang          bool
	MilliCPU      int64
	WorkersNeeded int
	Allowed       int
	Asked         int
	Ticketed      int
	Free          int
	FreeTicketed  int
	CallPending   bool
	JobsWaiting   int
}

// waitShard is a shard whose log lines about waits are kept.
type waitShard struct {
	*whereShard
	log bytes.Buffer
}

func newWaitShard(workers int) *waitShard {
	w := &waitShard{whereShard: newWhereShard(workers)}
	w.deps.Fleet, w.Shard.log = startingFleet{}, zerolog.New(zerolog.SyncWriter(&w.log))
	return w
}

// pass runs a pass with a summary and returns the lines about waits by their messages.
func (w *waitShard) pass(c *qt.C) map[string]waitLine {
	time.Sleep(summaryInterval)
	w.log.Reset()
	w.plan()
	synctest.Wait()
	lines := map[string]waitLine{}
	for decoder := json.NewDecoder(&w.log); decoder.More(); {
		var line waitLine
		c.Assert(decoder.Decode(&line), qt.IsNil)
		if line.Step != "" && line.JobsWaiting > 0 {
			lines[line.Message] = line
		}
	}
	return lines
}

const (
	longest         = "longest wait"
	longestWithRoom = "longest wait with room free"
)

// gangOf is a step of a number of tasks of three cores, of which one fits on a worker.
func gangOf(tasks int) job.Step {
	return job.Step{Count: tasks, Needs: cores(3), Estimate: time.Second, Gang: true}
}

// TestLongestWait guards against a wide gang that waits without a line that names it, and
// against a line or a gauge for a step that runs.
func TestLongestWait(t *testing.T) {
	for name, test := range map[string]func(c *qt.C, w *waitShard){
		"a gang behind others": func(c *qt.C, w *waitShard) {
			w.run("w0", "b", 4, time.Hour)
			w.add(whereJob(1, 2, gangOf(4)))
			w.pass(c)
			time.Sleep(9 * time.Second)
			w.add(whereJob(2, 2, job.Step{Count: 1, Needs: cores(4), Label: "none"}))
			lines := w.pass(c)
			c.Check(lines, qt.HasLen, 1)
			c.Check(lines[longest], qt.DeepEquals, waitLine{
				Message: longest, Step: "0000000000000001.0.0", Reason: dispatch.WaitsForRoom, AgeSeconds: 11, JobAgeSeconds: 11, Tasks: 4, Gang: true,
				MilliCPU: 3000, WorkersNeeded: 4, Free: 3, FreeTicketed: 3, JobsWaiting: 2,
			})
			c.Check(w.Status().LongestWait.Age, qt.Equals, int64(11_000))
			time.Sleep(500 * time.Millisecond)
			c.Check(w.Status().LongestWait.Age, qt.Equals, int64(11_500))
			c.Check(w.Status().LongestWaitWithRoom, qt.Equals, StepWait{})
		},
		"a gang without advice for enough workers": func(c *qt.C, w *waitShard) {
			w.clients = []AdviceClient{{Instance: "i", Advise: func(_ context.Context, _ string, _ []lovagestand.WorkerName) (lovagestand.Advice, error) {
				return lovagestand.Advice{Tickets: []lovagestand.Ticket{{Worker: "w0", Value: "t"}, {Worker: "w2", Value: "t"}}}, nil
			}}}
			j := whereJob(1, 2, gangOf(4))
			j.Policy.Advice = job.AdvicePolicy{FixedDuration: 50 * time.Millisecond, Validity: time.Minute}
			w.add(j)
			first := w.pass(c)
			c.Check(first[longestWithRoom].Reason, qt.Equals, dispatch.WaitsForAdvice)
			c.Check(first[longestWithRoom].Allowed, qt.Equals, 0)
			lines := w.pass(c)
			c.Check(lines[longest].Reason, qt.Equals, WaitsForPolicy)
			c.Check(lines[longest].Allowed, qt.Equals, 2)
			c.Check(lines[longest].Asked, qt.Equals, 4)
			c.Check(lines[longest].Ticketed, qt.Equals, 2)
			c.Check(lines[longest].Free, qt.Equals, 2)
			_, fits := lines[longestWithRoom]
			c.Check(fits, qt.IsFalse)
		},
		"a query of a known job": func(c *qt.C, w *waitShard) {
			w.run("w0", "b", 4, time.Hour)
			j := whereJob(1, 2, gangOf(4), job.Step{Count: 1, Needs: cores(1), After: []int{0}})
			w.add(j)
			w.pass(c)
			time.Sleep(9 * time.Second)
			got, err := w.Where(j, 0)
			c.Assert(err, qt.IsNil)
			c.Check(got.Rejection.Reason, qt.Equals, RejectsKnownID)
			c.Assert(got.Steps, qt.HasLen, 1)
			c.Check(got.Steps[0].Age, qt.Equals, int64(10_000))
			c.Check(got.Steps[0].Reason, qt.Equals, dispatch.WaitsForRoom)
			c.Check(got.Steps[0].Waiting, qt.Equals, 4)
			c.Check(got.Steps[0].Figures, qt.Equals, StepFigures{WorkersNeeded: 4, Free: 3, FreeTicketed: 3})
		},
		"a step that no worker can hold": func(c *qt.C, w *waitShard) {
			w.add(whereJob(1, 2, job.Step{Count: 1, Needs: cores(1), Label: "none"}))
			lines := w.pass(c)
			c.Check(lines, qt.HasLen, 1)
			c.Check(lines[longest].Reason, qt.Equals, dispatch.WaitsForWorker)
			c.Check(lines[longest].WorkersNeeded, qt.Equals, 0)
		},
		"a step behind all that a pass considers": func(c *qt.C, w *waitShard) {
			for n := range 4 {
				w.run(lovagestand.WorkerName(fmt.Sprint("w", n)), "b", 4, time.Hour)
			}
			w.add(w.job)
			w.pass(c)
			w.flood(maxStepsPerPass)
			c.Check(w.pass(c)[longest].Reason, qt.Equals, WaitsForFairShare)
		},
		"a step beyond the cap": func(c *qt.C, w *waitShard) {
			w.setCap(2)
			w.run("w0", "a", 2, time.Hour)
			w.add(w.job)
			lines := w.pass(c)
			c.Check(lines[longest].Reason, qt.Equals, dispatch.WaitsForCap)
			c.Check(lines[longestWithRoom].Step, qt.Equals, lines[longest].Step)
			c.Check(w.Status().LongestWaitWithRoom.Reason, qt.Equals, dispatch.WaitsForCap)
		},
		"an owner that is not assured": func(c *qt.C, w *waitShard) {
			w.unsure = true
			w.add(w.job)
			c.Check(w.pass(c)[longestWithRoom].Reason, qt.Equals, WaitsForAssurance)
		},
		"a job that waits for a worker of a former owner": func(c *qt.C, w *waitShard) {
			w.addOfFormerOwner(w.job)
			w.pass(c)
			time.Sleep(9 * time.Second)
			lines := w.pass(c)
			c.Check(lines[longest].Reason, qt.Equals, WaitsForFormerOwner)
			c.Check(lines[longestWithRoom].Reason, qt.Equals, WaitsForFormerOwner)
			c.Check(lines[longest].AgeSeconds, qt.Equals, 11.0)
			c.Check(w.Status().LongestWaitWithRoom.Age, qt.Equals, int64(11_000))
			w.resolveWorker("w0")
			c.Check(w.Status().LongestWait, qt.Equals, StepWait{})
			w.plan()
			c.Check(w.pass(c), qt.HasLen, 0)
		},
		"a step that starts in the pass": func(c *qt.C, w *waitShard) {
			w.add(whereJob(1, 2, gangOf(4)))
			c.Check(w.pass(c), qt.HasLen, 0)
			c.Check(w.Status().LongestWait, qt.Equals, StepWait{})
		},
		"a step that starts after the summary": func(c *qt.C, w *waitShard) {
			w.unsure = true
			w.add(w.job)
			w.pass(c)
			c.Check(w.Status().LongestWait.Step, qt.Equals, "0000000000000001.0.0")
			w.unsure = false
			w.plan()
			c.Check(w.Status().LongestWait, qt.Equals, StepWait{})
			c.Check(w.pass(c), qt.HasLen, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(qt.New(t), newWaitShard(4)) })
		})
	}
}
