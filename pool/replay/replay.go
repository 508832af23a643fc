// Package replay runs a decider through seeded loads under a virtual clock and
// measures its policy: waits, packing, preemption and fairness. It has no
// network and no failures, so it does not simulate a cluster.
package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// ClaimReporter is implemented by deciders that claim workers for waiting
// tasks.
type ClaimReporter interface {
	// ClaimedFree returns the sum of the free resources of all claimed workers.
	ClaimedFree() lovagestand.Resources
}

// job is a task with its true run time, which the decider does not see.
type job struct {
	task lovagestand.Task
	// remaining is how long the task still has to run.
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
	// runNumber identifies the run that the event belongs to, as a job may run
	// several times.
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

// run is one run of a job on a worker.
type run struct {
	job       *job
	startedAt time.Duration
	number    int
}

// replay is the state of a decider's run through a load.
type replay struct {
	load        Load
	decider     lovagestand.Decider
	now         time.Duration
	events      events
	sequence    int
	runs        map[lovagestand.TaskID]*run
	waitingJobs map[lovagestand.TaskID]*job
	// runningMilliCPU and waitingMilliCPU sum the sizes of running and waiting
	// tasks by team, in thousandths of a core.
	runningMilliCPU, waitingMilliCPU map[lovagestand.TeamName]int64
	lastRunNumber                    int
	meter                            *meter
	decisions                        []lovagestand.Decision
}

// startTime is the start of the virtual time.
var startTime = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

const (
	// tick is the interval at which the state is sampled and, if there is no
	// other event, the decider is called.
	tick = 200 * time.Millisecond
	// resumeCost is by how much the run time of a task grows when it is
	// preempted.
	resumeCost = time.Second
)

// Run runs a decider under a load and returns the measurements.
func Run(l Load, d lovagestand.Decider) Result {
	r := &replay{
		load: l, decider: d, runs: map[lovagestand.TaskID]*run{},
		waitingJobs: map[lovagestand.TaskID]*job{}, meter: newMeter(l),
		runningMilliCPU: map[lovagestand.TeamName]int64{}, waitingMilliCPU: map[lovagestand.TeamName]int64{},
	}
	for _, w := range l.workers() {
		d.SetWorker(startTime, w, poolName)
	}
	d.SetPolicies([]lovagestand.PoolPolicy{l.policy()})
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
		r.resubmit(e)
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

// dequeue removes a job from the waiting ones.
func (r *replay) dequeue(j *job) {
	delete(r.waitingJobs, j.task.ID)
	r.waitingMilliCPU[j.task.Team] -= j.task.Resources.MilliCPU
}

// removeRun removes a job from the running ones.
func (r *replay) removeRun(j *job) {
	delete(r.runs, j.task.ID)
	r.runningMilliCPU[j.task.Team] -= j.task.Resources.MilliCPU
}

func (r *replay) end(e event) {
	current, ok := r.runs[e.job.task.ID]
	if !ok || current.number != e.runNumber {
		return
	}
	r.removeRun(e.job)
	ran := r.now - current.startedAt
	r.decider.Finish(r.virtualTime(), e.job.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskDone, Ran: ran})
}

// resubmit removes a preempted job from its worker and submits the rest of it
// as a new task.
func (r *replay) resubmit(e event) {
	current, ok := r.runs[e.job.task.ID]
	if !ok || current.number != e.runNumber {
		return
	}
	r.removeRun(e.job)
	r.decider.Finish(r.virtualTime(), e.job.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskStopped, Ran: r.now - current.startedAt})
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

// preempt starts the checkpoint of a job. If the job would end before its
// checkpoint does, its end is handled first and the job is not resubmitted.
func (r *replay) preempt(id lovagestand.TaskID) {
	current := r.runs[id]
	ran := r.now - current.startedAt
	took := min(r.load.Checkpoint, current.job.remaining-ran)
	r.meter.recordPreemption(current.job, took)
	current.job.remaining += resumeCost - ran
	r.push(event{at: r.now + took, kind: eventStopped, job: current.job, runNumber: current.number})
}
