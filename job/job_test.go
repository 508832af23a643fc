package job_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

var accepted = time.UnixMilli(1_700_000_000_000)

func newJob(attempts int, steps ...job.Step) job.Job {
	return job.Job{ID: "5c0e7a21d94b36f8", Policy: job.Policy{Route: "quote", MaxAttempts: attempts}, Steps: steps}
}

func waiting(p *job.Progress) map[job.StepRef][]int {
	out := map[job.StepRef][]int{}
	refs, _ := p.Startable(accepted)
	for _, r := range refs {
		out[r] = p.Waiting(r)
	}
	return out
}

func task(step, index int) job.Task { return job.Task{Step: step, Index: index} }

func TestStepsRunInOrder(t *testing.T) {
	c := qt.New(t)
	p := job.New(newJob(2, job.Step{Count: 2}, job.Step{Count: 1, After: []int{0}}), accepted)
	c.Assert(waiting(p), qt.DeepEquals, map[job.StepRef][]int{{}: {0, 1}})
	c.Assert(p.Phase(), qt.Equals, "queued")
	c.Assert(p.Start(task(1, 0), 1), qt.IsFalse)
	c.Assert(p.Start(task(0, 0), 1), qt.IsTrue)
	c.Assert(p.Start(task(0, 1), 1), qt.IsTrue)
	c.Assert(p.Phase(), qt.Equals, "running")
	c.Assert(p.Finish(task(0, 0), 1), qt.IsTrue)
	c.Assert(p.Finish(task(0, 0), 1), qt.IsFalse)
	c.Assert(waiting(p), qt.HasLen, 0)
	c.Assert(p.Finish(task(0, 1), 1), qt.IsTrue)
	c.Assert(waiting(p), qt.DeepEquals, map[job.StepRef][]int{{Step: 1}: {0}})
	c.Assert(p.Start(task(1, 0), 1), qt.IsTrue)
	c.Assert(p.Finish(task(1, 0), 1), qt.IsTrue)
	c.Assert(p.Phase(), qt.Equals, "completed")
}

func TestAttempts(t *testing.T) {
	c := qt.New(t)
	c.Run("a failure listed again counts once", func(c *qt.C) {
		p := job.New(newJob(2, job.Step{Count: 1}), accepted)
		c.Assert(p.Start(task(0, 0), 1), qt.IsTrue)
		c.Assert(p.Fail(task(0, 0), 1, ""), qt.IsTrue)
		restored, err := job.Restore(p.Job(), p.Record())
		c.Assert(err, qt.IsNil)
		c.Assert(restored.Fail(task(0, 0), 1, ""), qt.IsFalse)
		c.Assert(restored.Final(), qt.IsFalse)
	})
	c.Run("failures count in any order", func(c *qt.C) {
		p := job.New(newJob(2, job.Step{Count: 1}), accepted)
		c.Assert(p.Fail(task(0, 0), 2, ""), qt.IsTrue)
		c.Assert(p.Fail(task(0, 0), 1, ""), qt.IsTrue)
		c.Assert(p.Phase(), qt.Equals, "failed")
	})
	c.Run("a gang fails once for all its members", func(c *qt.C) {
		p := job.New(newJob(2, job.Step{Count: 3, Gang: true}), accepted)
		for i := range 3 {
			c.Assert(p.Start(task(0, i), 1), qt.IsTrue)
		}
		c.Assert(p.Fail(task(0, 0), 1, ""), qt.IsTrue)
		c.Assert(p.Fail(task(0, 1), 1, ""), qt.IsFalse)
		c.Assert(p.Phase(), qt.Equals, "running")
		c.Assert(p.NextRun(task(0, 2)), qt.Equals, int64(2))
	})
	c.Run("long-running tasks may fail any number of times", func(c *qt.C) {
		p := job.New(newJob(1, job.Step{Count: 1, LongRunning: true}), accepted)
		for run := range int64(5) {
			c.Assert(p.Start(task(0, 0), run+1), qt.IsTrue)
			c.Assert(p.Fail(task(0, 0), run+1, ""), qt.IsTrue)
		}
		c.Assert(p.Final(), qt.IsFalse)
		c.Assert(waiting(p), qt.HasLen, 1)
	})
}

func TestAdoptBeforePrecedingStepsAreDone(t *testing.T) {
	c := qt.New(t)
	p := job.New(newJob(2, job.Step{Count: 1}, job.Step{Count: 1, After: []int{0}}), accepted)
	c.Assert(p.Adopt(task(1, 0), 1), qt.IsTrue)
	c.Assert(p.Finish(task(0, 0), 1), qt.IsTrue)
	c.Assert(waiting(p), qt.HasLen, 0, qt.Commentf("the adopted run continues"))
}

func TestEndOfOneMemberEndsTheGang(t *testing.T) {
	c := qt.New(t)
	p := job.New(newJob(2, job.Step{Count: 3, Gang: true}), accepted)
	for i := range 3 {
		c.Assert(p.Start(task(0, i), 1), qt.IsTrue)
	}
	c.Assert(p.Finish(task(0, 1), 1), qt.IsTrue)
	c.Assert(p.Phase(), qt.Equals, "completed")
}

func TestOccurrences(t *testing.T) {
	c := qt.New(t)
	j := newJob(1, job.Step{Count: 1})
	j.Schedule = job.Schedule{Repeat: 2, Start: accepted.UnixMilli() + 1000, Interval: time.Second}
	p := job.New(j, accepted)
	refs, due := p.Startable(accepted)
	c.Assert(refs, qt.HasLen, 0)
	c.Assert(due, qt.Equals, accepted.Add(time.Second))
	refs, _ = p.Startable(accepted.Add(2 * time.Second))
	c.Assert(refs, qt.DeepEquals, []job.StepRef{{Occurrence: 0}, {Occurrence: 1}})
}

func TestCheck(t *testing.T) {
	c := qt.New(t)
	for name, j := range map[string]job.Job{
		"no steps":       newJob(1),
		"no tasks":       newJob(1, job.Step{}),
		"too many tasks": newJob(1, job.Step{Count: job.MaxTasks}, job.Step{Count: 1}),
		"after itself":   newJob(1, job.Step{Count: 1, After: []int{0}}),
		"negative need":  newJob(1, job.Step{Count: 1, Needs: lovagestand.Resources{MilliCPU: -1}}),
		"huge repeat":    {Steps: []job.Step{{Count: 1}}, Schedule: job.Schedule{Repeat: 1 << 40}},
	} {
		c.Run(name, func(c *qt.C) {
			var invalid *job.InvalidError
			c.Assert(j.Check(), qt.ErrorAs, &invalid)
		})
	}
}

// model is a reference implementation of [job.Progress]. It records all events and
// derives the state from them each time.
type model struct {
	job       job.Job
	done      map[job.Task]bool
	active    map[job.Task]int64
	failed    map[string]bool
	cancelled bool
}

func (m *model) stepDone(step int) bool {
	for i := range m.job.Steps[step].Count {
		if !m.done[task(step, i)] {
			return false
		}
	}
	return true
}

func (m *model) unblocked(step int) bool {
	for _, a := range m.job.Steps[step].After {
		if !m.stepDone(a) {
			return false
		}
	}
	return true
}

func (m *model) exhausted() bool {
	count := map[string]int{}
	for key := range m.failed {
		var step, index int
		var run int64
		_, _ = fmt.Sscanf(key, "%d.%d.%d", &step, &index, &run)
		count[fmt.Sprint(step, index)]++
	}
	for _, n := range count {
		if n >= m.job.Policy.MaxAttempts {
			return true
		}
	}
	return false
}

func (m *model) phase(started bool) string {
	completed := true
	for i := range m.job.Steps {
		completed = completed && m.stepDone(i)
	}
	switch {
	case m.cancelled:
		return "cancelled"
	case m.exhausted():
		return "failed"
	case completed:
		return "completed"
	case started:
		return "running"
	}
	return "queued"
}

func (m *model) waiting() map[job.StepRef][]int {
	out := map[job.StepRef][]int{}
	for i, s := range m.job.Steps {
		for k := range s.Count {
			if _, active := m.active[task(i, k)]; m.unblocked(i) && !active && !m.done[task(i, k)] {
				ref := job.StepRef{Step: i}
				out[ref] = append(out[ref], k)
			}
		}
	}
	return out
}

func randomJob(t *rapid.T) job.Job {
	var steps []job.Step
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := job.Step{Count: rapid.IntRange(1, 4).Draw(t, "count")}
		for a := range i {
			if rapid.Bool().Draw(t, "after") {
				s.After = append(s.After, a)
			}
		}
		steps = append(steps, s)
	}
	return newJob(rapid.IntRange(1, 3).Draw(t, "attempts"), steps...)
}

// TestAgainstModel applies the same random events to a progress and to the model and
// compares their states. A "restore" event replaces the progress by one restored from
// its record.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := randomJob(t)
		p := job.New(j, accepted)
		m := &model{job: j, done: map[job.Task]bool{}, active: map[job.Task]int64{}, failed: map[string]bool{}}
		started := false
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			step := rapid.IntRange(0, len(j.Steps)-1).Draw(t, "step")
			k := task(step, rapid.IntRange(0, j.Steps[step].Count-1).Draw(t, "index"))
			final := p.Final()
			run, active := m.active[k]
			switch event := rapid.SampledFrom([]string{"start", "start", "done", "done", "fail", "lose", "restore", "cancel"}).Draw(t, "event"); event {
			case "start":
				next := p.NextRun(k)
				if p.Start(k, next) {
					m.active[k] = next
					started = true
				}
			case "done":
				if active && !final && p.Finish(k, run) {
					m.done[k] = true
					delete(m.active, k)
				}
			case "fail":
				if active && !final {
					p.Fail(k, run, "")
					m.failed[fmt.Sprintf("%d.%d.%d", k.Step, k.Index, run)] = true
					delete(m.active, k)
				}
			case "lose":
				if active && !final {
					p.Requeue(k, run, "")
					delete(m.active, k)
				}
			case "restore":
				if final {
					break
				}
				restored, err := job.Restore(j, p.Record())
				if err != nil {
					t.Fatal(err)
				}
				for _, a := range slices.Collect(maps.Keys(m.active)) {
					if !restored.Adopt(a, m.active[a]) {
						t.Fatalf("run %v not adopted", a)
					}
				}
				p = restored
				started = started && p.Started()
			case "cancel":
				if rapid.IntRange(0, 9).Draw(t, "sure") == 0 && p.Cancel() {
					m.cancelled = true
				}
			}
			if got, want := p.Phase(), m.phase(started); got != want {
				t.Fatalf("phase %s, want %s", got, want)
			}
			if !p.Final() && !maps.EqualFunc(waiting(p), m.waiting(), slices.Equal) {
				t.Fatalf("waiting %v, want %v", waiting(p), m.waiting())
			}
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	p := job.New(newJob(3, job.Step{Count: 2}), accepted)
	p.Start(task(0, 1), 1)
	p.Fail(task(0, 1), 1, "")
	body, err := job.EncodeJob(p.Job())
	if err != nil {
		f.Fatal(err)
	}
	value, err := p.Record().Encode(body)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"phase":"queued","tasks":[[0,0,9,1]]}` + "\n{}"))
	f.Fuzz(func(_ *testing.T, value []byte) {
		r, body, err := job.DecodeRecord(value)
		if err != nil {
			return
		}
		j, err := job.DecodeJob(body)
		if err != nil {
			return
		}
		if p, err := job.Restore(j, r); err == nil {
			p.Startable(accepted)
		}
	})
}

func ExampleParseTaskName() {
	id, task, ok := job.ParseTaskName("5c0e7a21d94b36f8.0.1.17")
	fmt.Println(id, task.Occurrence, task.Step, task.Index, ok)
	// Output: 5c0e7a21d94b36f8 0 1 17 true
}

// TestEncodedJobIsAsLargeAsTheRequest guards against jobs that grow beyond what the store
// accepts by the escapes of their encoded form.
func TestEncodedJobIsAsLargeAsTheRequest(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"<", ">", "&", "i", "\u00e9"} {
		image := strings.Repeat(text, 1000)
		j := newJob(2, job.Step{Count: 1, Image: image})
		body, err := job.EncodeJob(j)
		c.Assert(err, qt.IsNil)
		c.Check(len(body) < len(image)+500, qt.IsTrue, qt.Commentf("%s: %d bytes", text, len(body)))
		decoded, err := job.DecodeJob(body)
		c.Assert(err, qt.IsNil)
		c.Check(decoded.Steps[0].Image, qt.Equals, image)
	}
}
