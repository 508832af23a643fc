package pool_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
)

// TestConservation makes random calls to a decider and checks each of its
// decisions.
func TestConservation(t *testing.T) {
	rapid.Check(t, checkConservation)
}

// FuzzLedger searches for a sequence of calls after which a worker's capacity
// or a team's quota is exceeded, or a task is lost or counted twice.
func FuzzLedger(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(checkConservation))
}

func checkConservation(t *rapid.T) {
	d := pool.New("s", pool.WithAgeingDelay(3*time.Second), pool.WithClaimTimeout(2*time.Second))
	a := newAuditor(checker(t), d)
	for i := range smallInt(t, 120, "steps") {
		a.now = a.now.Add(time.Duration(smallInt(t, 1500, "passes")) * time.Millisecond)
		step(t, a, i)
		for h, hold := range a.held {
			if !a.now.Before(hold.Until) {
				delete(a.held, h)
			}
		}
		a.check(d.Decide(a.now, nil))
	}
}

// steps are the possible calls. The more likely ones are listed several times.
var steps = []func(*rapid.T, *auditor, int){
	submit, submit, submit, submit, finish, finish, finish, cancel, grow,
	setWorker, setWorker, removeWorker, adopt, setPolicies, hold, commit, release,
}

func step(t *rapid.T, a *auditor, i int) {
	rapid.SampledFrom(steps).Draw(t, "step")(t, a, i)
}

func submit(t *rapid.T, a *auditor, i int) {
	task := randomTask(t, i, a.now)
	if a.decider.Submit(a.now, task) == nil {
		a.waiting[task.ID] = task
	}
}

func finish(t *rapid.T, a *auditor, _ int) {
	phases := []lovagestand.TaskPhase{lovagestand.TaskDone, lovagestand.TaskFailed, lovagestand.TaskFailed, lovagestand.TaskStopped}
	if id, ok := pick(t, a.placed); ok {
		ran := time.Duration(smallInt(t, 9, "ran")) * time.Second
		a.decider.Finish(a.now, id, lovagestand.TaskResult{Phase: rapid.SampledFrom(phases).Draw(t, "phase"), Ran: ran})
		a.remove(id)
	}
}

func cancel(t *rapid.T, a *auditor, _ int) {
	if id, ok := pick(t, a.waiting); ok {
		a.c.Assert(a.decider.Cancel(id), qt.Equals, true)
		a.c.Assert(a.decider.Cancel(id), qt.Equals, false)
		delete(a.waiting, id)
	}
}

func grow(t *rapid.T, a *auditor, _ int) {
	id, ok := pick(t, a.placed)
	if !ok {
		return
	}
	task := a.tasks[id].WithResources(randomSize(t, 7))
	grows := !task.Resources.Fits(a.tasks[id].Resources)
	if !a.decider.Resize(id, task.Resources) {
		return
	}
	a.tasks[id] = task
	if grows {
		a.checkCapacity(a.placed[id])
		a.checkQuota(task.Team)
	}
}

func setWorker(t *rapid.T, a *auditor, _ int) {
	w := randomWorker(t)
	a.decider.SetWorker(a.now, w, "frames")
	a.workers[w.Name] = w
}

func removeWorker(t *rapid.T, a *auditor, _ int) {
	name, ok := pick(t, a.workers)
	if !ok {
		return
	}
	lost := a.decider.RemoveWorker(a.now, name)
	delete(a.workers, name)
	for _, task := range lost {
		a.c.Assert(a.placed[task.ID], qt.Equals, name)
		a.remove(task.ID)
	}
	for _, on := range a.placed {
		a.c.Assert(on == name, qt.Equals, false)
	}
	// A hold that had room on the removed worker has been released as a whole.
	// All other holds are released too, so that the test need not track which
	// one it was.
	for h := range a.held {
		a.decider.Release(h)
		delete(a.held, h)
	}
}

func adopt(t *rapid.T, a *auditor, i int) {
	name, ok := pick(t, a.workers)
	if !ok {
		return
	}
	task := randomTask(t, i, a.now)
	task.Gang, task.GangSize = "", 0
	a.decider.Adopt(a.now, task, name)
	a.place(task, name)
}

func setPolicies(t *rapid.T, a *auditor, _ int) {
	p := randomPolicy(t)
	a.decider.SetPolicies([]lovagestand.PoolPolicy{p})
	for _, team := range p.Teams {
		if team.Quota != nil {
			a.quotas[team.Team] = *team.Quota
		}
	}
}

func hold(t *rapid.T, a *auditor, _ int) {
	h := lovagestand.Hold{
		Gang: fmt.Sprintf("h%d", smallInt(t, 2, "hold")), Pool: "frames", Team: "team1", Tasks: smallInt(t, 4, "tasks"),
		Resources: randomSize(t, 3), Until: a.now.Add(time.Duration(smallInt(t, 9, "until")) * time.Second),
	}
	delete(a.held, h.Gang)
	if a.decider.Hold(a.now, h) == nil {
		a.held[h.Gang] = h
	}
}

func commit(t *rapid.T, a *auditor, i int) {
	name, ok := pick(t, a.held)
	if !ok {
		return
	}
	h := a.held[name]
	var tasks []lovagestand.Task
	for k := range h.Tasks {
		id := lovagestand.TaskID(fmt.Sprintf("t%d-%d", i, k))
		tasks = append(tasks, lovagestand.Task{
			ID: id, Pool: h.Pool, Team: h.Team, Class: lovagestand.ClassGang,
			Resources: h.Resources, Gang: name, GangSize: h.Tasks,
		})
	}
	decisions, err := a.decider.Commit(a.now, name, tasks, nil)
	var refused *lovagestand.HoldError
	a.c.Assert(err == nil || errors.As(err, &refused) && len(decisions) == 0, qt.IsTrue)
	a.decider.Release(name)
	delete(a.held, name)
	for _, d := range decisions {
		a.place(d.Task, d.Worker)
		a.checkStart(d.Worker)
		a.checkQuota(d.Task.Team)
	}
}

func release(t *rapid.T, a *auditor, _ int) {
	if name, ok := pick(t, a.held); ok {
		a.decider.Release(name)
		delete(a.held, name)
	}
}
