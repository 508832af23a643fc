// Package replay runs a decider through seeded loads under a virtual clock and
// measures its policy: waiting, packing, preemption, fairness. It knows no
// network and no failures; it is not a simulator of the cluster.
package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// ClaimReporter is implemented by deciders that keep workers free for a waiting task.
type ClaimReporter interface {
	// ClaimedFree returns what is free on such workers.
	ClaimedFree() lovagestand.Resources
}

// job is a task with the truth about it, which its decider does not see.
type job struct {
	task lovagestand.Task
	// left is how long it still has to run.
	left    time.Duration
	arrives time.Duration
	started bool
}

type eventKind int8

const (
	eventArrive eventKind = iota
	eventEnd
	eventStopped
	eventTick
)

type event struct {
	at   time.Duration
	kind eventKind
	// sequence orders events of the same time.
	sequence int
	job      *job
	// run tells a run of a job from a later one.
	run int
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[k].at), cmp.Compare(e[i].sequence, e[k].sequence)) < 0
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is a placed job.
type run struct {
	job    *job
	began  time.Duration
	number int
}

// replay is one run of a decider through a load.
type replay struct {
	load     Load
	decider  lovagestand.Decider
	now      time.Duration
	events   events
	sequence int
	runs     map[lovagestand.TaskID]*run
	jobs     map[lovagestand.TaskID]*job
	// running and waiting are thousandths of cores by team.
	running, waiting map[lovagestand.TeamName]int64
	numbers          int
	meter            *meter
	out              []lovagestand.Decision
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

const (
	// tick is how often the decider is called and measured without an event.
	tick = 200 * time.Millisecond
	// resumeCost is what a task runs longer after it was displaced.
	resumeCost = time.Second
)

// Run takes a decider through a load and returns what was measured.
func Run(l Load, d lovagestand.Decider) Result {
	r := &replay{
		load: l, decider: d, runs: map[lovagestand.TaskID]*run{},
		jobs: map[lovagestand.TaskID]*job{}, meter: newMeter(l),
		running: map[lovagestand.TeamName]int64{}, waiting: map[lovagestand.TeamName]int64{},
	}
	for _, w := range l.workers() {
		d.SetWorker(epoch, w, poolName)
	}
	d.SetPolicies([]lovagestand.Policy{l.policy()})
	for _, j := range l.jobs() {
		r.push(event{at: j.arrives, kind: eventArrive, job: j})
	}
	r.push(event{kind: eventTick})
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > l.Duration {
			break
		}
		r.now = e.at
		r.handle(e)
		if len(r.events) == 0 || r.events[0].at > r.now {
			r.decide()
		}
	}
	r.meter.close(r)
	return r.meter.result()
}

func (r *replay) push(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.events, e)
}

func (r *replay) clock() time.Time {
	return epoch.Add(r.now)
}

func (r *replay) handle(e event) {
	switch e.kind {
	case eventArrive:
		r.arrive(e.job)
	case eventEnd:
		r.end(e)
	case eventStopped:
		r.stopped(e)
	case eventTick:
		r.meter.measure(r)
		r.push(event{at: r.now + tick, kind: eventTick})
	}
}

func (r *replay) arrive(j *job) {
	if !j.started {
		j.task.Submitted = r.clock()
	}
	if err := r.decider.Submit(r.clock(), j.task); err != nil {
		r.meter.refused[j.task.Class]++
		return
	}
	r.jobs[j.task.ID] = j
	r.waiting[j.task.Team] += j.task.Resources.MilliCPU
}

// unqueue takes a job out of those that wait.
func (r *replay) unqueue(j *job) {
	delete(r.jobs, j.task.ID)
	r.waiting[j.task.Team] -= j.task.Resources.MilliCPU
}

// leave takes a job off its worker.
func (r *replay) leave(j *job) {
	delete(r.runs, j.task.ID)
	r.running[j.task.Team] -= j.task.Resources.MilliCPU
}

func (r *replay) end(e event) {
	n, ok := r.runs[e.job.task.ID]
	if !ok || n.number != e.run {
		return
	}
	r.leave(e.job)
	ran := r.now - n.began
	r.decider.Finish(r.clock(), e.job.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskDone, Ran: ran})
}

// stopped takes a displaced job off its worker and submits what is left of it.
func (r *replay) stopped(e event) {
	n, ok := r.runs[e.job.task.ID]
	if !ok || n.number != e.run {
		return
	}
	r.leave(e.job)
	r.decider.Finish(r.clock(), e.job.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskStopped, Ran: r.now - n.began})
	r.numbers++
	j := *e.job
	j.task.ID = lovagestand.TaskID(fmt.Sprintf("%s+%d", e.job.task.ID, r.numbers))
	r.arrive(&j)
}

func (r *replay) decide() {
	r.out = r.decider.Decide(r.clock(), r.out[:0])
	for _, d := range r.out {
		j := r.jobs[d.Task.ID]
		switch d.Kind {
		case lovagestand.DecisionStart:
			r.unqueue(j)
			r.start(j)
		case lovagestand.DecisionPreempt:
			r.preempt(d.Task.ID)
		case lovagestand.DecisionExpire:
			r.unqueue(j)
			r.meter.expired[d.Task.Class]++
		}
	}
}

func (r *replay) start(j *job) {
	if !j.started {
		r.meter.waited(j.task.Class, r.now, r.now-j.arrives)
	}
	j.started = true
	r.running[j.task.Team] += j.task.Resources.MilliCPU
	r.numbers++
	r.runs[j.task.ID] = &run{job: j, began: r.now, number: r.numbers}
	r.push(event{at: r.now + j.left, kind: eventEnd, job: j, run: r.numbers})
}

// preempt begins a checkpoint. The job ends first if it is nearly done.
func (r *replay) preempt(id lovagestand.TaskID) {
	n := r.runs[id]
	ran := r.now - n.began
	took := min(r.load.Checkpoint, n.job.left-ran)
	r.meter.preempted(n.job, took)
	n.job.left += resumeCost - ran
	r.push(event{at: r.now + took, kind: eventStopped, job: n.job, run: n.number})
}
