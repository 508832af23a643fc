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
	// remaining is how long it still has to run.
	remaining time.Duration
	arrival   time.Duration
	started   bool
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
	// runNumber tells a run of a job from a later one.
	runNumber int
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
	job       *job
	startedAt time.Duration
	number    int
}

// replay is one run of a decider through a load.
type replay struct {
	load        Load
	decider     lovagestand.Decider
	now         time.Duration
	events      events
	sequence    int
	runs        map[lovagestand.TaskID]*run
	waitingJobs map[lovagestand.TaskID]*job
	// runningMilliCPU and waiting are thousandths of cores by team.
	runningMilliCPU, waitingMilliCPU map[lovagestand.TeamName]int64
	lastRunNumber                    int
	meter                            *meter
	decisions                        []lovagestand.Decision
}

// startTime is the start of virtual time.
var startTime = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

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
		waitingJobs: map[lovagestand.TaskID]*job{}, meter: newMeter(l),
		runningMilliCPU: map[lovagestand.TeamName]int64{}, waitingMilliCPU: map[lovagestand.TeamName]int64{},
	}
	for _, w := range l.workers() {
		d.SetWorker(startTime, w, poolName)
	}
	d.SetPolicies([]lovagestand.Policy{l.policy()})
	for _, j := range l.jobs() {
		r.push(event{at: j.arrival, kind: eventArrive, job: j})
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

func (r *replay) virtualTime() time.Time {
	return startTime.Add(r.now)
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
		j.task.Submitted = r.virtualTime()
	}
	if err := r.decider.Submit(r.virtualTime(), j.task); err != nil {
		r.meter.refused[j.task.Class]++
		return
	}
	r.waitingJobs[j.task.ID] = j
	r.waitingMilliCPU[j.task.Team] += j.task.Resources.MilliCPU
}

// dequeue takes a job out of those that wait.
func (r *replay) dequeue(j *job) {
	delete(r.waitingJobs, j.task.ID)
	r.waitingMilliCPU[j.task.Team] -= j.task.Resources.MilliCPU
}

// removeRun takes a job off its worker.
func (r *replay) removeRun(j *job) {
	delete(r.runs, j.task.ID)
	r.runningMilliCPU[j.task.Team] -= j.task.Resources.MilliCPU
}

func (r *replay) end(e event) {
	n, ok := r.runs[e.job.task.ID]
	if !ok || n.number != e.runNumber {
		return
	}
	r.removeRun(e.job)
	ran := r.now - n.startedAt
	r.decider.Finish(r.virtualTime(), e.job.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskDone, Ran: ran})
}

// stopped takes a displaced job off its worker and submits what is left of it.
func (r *replay) stopped(e event) {
	n, ok := r.runs[e.job.task.ID]
	if !ok || n.number != e.runNumber {
		return
	}
	r.removeRun(e.job)
	r.decider.Finish(r.virtualTime(), e.job.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskStopped, Ran: r.now - n.startedAt})
	r.lastRunNumber++
	j := *e.job
	j.task.ID = lovagestand.TaskID(fmt.Sprintf("%s+%d", e.job.task.ID, r.lastRunNumber))
	r.arrive(&j)
}

func (r *replay) decide() {
	r.decisions = r.decider.Decide(r.virtualTime(), r.decisions[:0])
	for _, d := range r.decisions {
		j := r.waitingJobs[d.Task.ID]
		switch d.Kind {
		case lovagestand.DecisionStart:
			r.dequeue(j)
			r.start(j)
		case lovagestand.DecisionPreempt:
			r.preempt(d.Task.ID)
		case lovagestand.DecisionExpire:
			r.dequeue(j)
			r.meter.expired[d.Task.Class]++
		}
	}
}

func (r *replay) start(j *job) {
	if !j.started {
		r.meter.recordWait(j.task.Class, r.now, r.now-j.arrival)
	}
	j.started = true
	r.runningMilliCPU[j.task.Team] += j.task.Resources.MilliCPU
	r.lastRunNumber++
	r.runs[j.task.ID] = &run{job: j, startedAt: r.now, number: r.lastRunNumber}
	r.push(event{at: r.now + j.remaining, kind: eventEnd, job: j, runNumber: r.lastRunNumber})
}

// preempt begins a checkpoint. The job ends first if it is nearly done.
func (r *replay) preempt(id lovagestand.TaskID) {
	n := r.runs[id]
	ran := r.now - n.startedAt
	took := min(r.load.Checkpoint, n.job.remaining-ran)
	r.meter.recordPreemption(n.job, took)
	n.job.remaining += resumeCost - ran
	r.push(event{at: r.now + took, kind: eventStopped, job: n.job, runNumber: n.number})
}
