package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// minBalanceWait is how long a job must have waited before it may be moved to a shard
	// with more room.
	minBalanceWait = 2 * time.Second
	// longBalanceWait is the wait from which a job does not count as one that the free room
	// of its own shard serves soon: the room is divided over too many workers, or the policy
	// does not allow those that have it.
	longBalanceWait = 5 * time.Second
	// maxLoadAge is the age up to which the load of another shard counts.
	maxLoadAge = 1500 * time.Millisecond
	// minLoadGap is how much lower the load of the other shard must be, as a fraction of
	// the capacity of each.
	minLoadGap = 0.25
	// targetRoomFactor is how many times the other shard must have room for the waiting
	// tasks of a job, since others take some of it before they start.
	targetRoomFactor = 2
	// maxBalanceMoves bounds the moves of one decision.
	maxBalanceMoves = 16
)

// ShardLoad is the load of a shard.
type ShardLoad struct {
	// Capacity is what all workers have, Free what is free on those that accept tasks, and
	// Waiting what the waiting tasks need that the workers can hold.
	Capacity lovagestand.Resources `json:"capacity"`
	Free     lovagestand.Resources `json:"free"`
	Waiting  lovagestand.Resources `json:"waiting"`
	// Rooms divides Free by worker.
	Rooms []WorkerRoom `json:"rooms,omitempty"`
}

// WorkerRoom is what is free on each of a number of workers with the same service and labels.
type WorkerRoom struct {
	Service string                `json:"service,omitempty"`
	Labels  []string              `json:"labels,omitempty"`
	Free    lovagestand.Resources `json:"free"`
	Workers int                   `json:"workers"`
}

// Use returns the use of the resource among those that some needs contain of which most is
// used or waited for, as a fraction of the capacity; 1 stands for a full shard in which
// nothing waits.
func (l ShardLoad) Use(needs lovagestand.Resources) float64 {
	demand := l.Capacity.Sub(l.Free).Add(l.Waiting)
	most := 0.0
	for _, r := range [...][3]int64{
		{needs.MilliCPU, demand.MilliCPU, l.Capacity.MilliCPU},
		{needs.MemoryMiB, demand.MemoryMiB, l.Capacity.MemoryMiB},
		{needs.Accelerators, demand.Accelerators, l.Capacity.Accelerators},
	} {
		switch {
		case r[0] <= 0:
		case r[2] <= 0:
			return math.Inf(1)
		default:
			most = max(most, float64(r[1])/float64(r[2]))
		}
	}
	return most
}

// WaitingTasks are the waiting tasks of a step.
type WaitingTasks struct {
	Shape Shape
	Tasks int
}

// needs returns what all tasks together need.
func (t WaitingTasks) needs() lovagestand.Resources { return t.Shape.Needs.Times(int64(t.Tasks)) }

// WaitingJob is a job with tasks that wait.
type WaitingJob struct {
	Steps []WaitingTasks
	// Waited is how long the job has waited without a start.
	Waited time.Duration
	// Movable reports whether the job may be moved, MayMoveTo whether to a shard; a nil
	// function reports true for all of them.
	Movable   bool
	MayMoveTo func(shard string) bool
	// AllowedShare is the fraction of the workers that policy usually allows for the job; 1
	// if it needs no tickets.
	AllowedShare float64
}

// Needs returns what the waiting tasks of the job need together.
func (j WaitingJob) Needs() lovagestand.Resources { return sumNeeds(j.Steps) }

func sumNeeds(steps []WaitingTasks) lovagestand.Resources {
	var sum lovagestand.Resources
	for _, t := range steps {
		sum = sum.Add(t.needs())
	}
	return sum
}

// OtherShard is the load of another shard.
type OtherShard struct {
	Name string
	Load ShardLoad
	// Age is how old the load is, Sent what was sent there since.
	Age  time.Duration
	Sent []WaitingTasks
}

// Balancing is the input of [Balance].
type Balancing struct {
	// Own is the load of the shard. Own.Waiting is not used; Soon is what runs that are
	// about to end release.
	Own  ShardLoad
	Soon lovagestand.Resources
	// Jobs holds all jobs with waiting tasks, by rank.
	Jobs   []WaitingJob
	Others []OtherShard
	// Senders is the number of shards that may send jobs to each of the others at the same
	// time; 0 counts as 1. Each uses its part of the room there, or sends one job.
	Senders int64
}

// BalanceMove is the decision to move a job.
type BalanceMove struct {
	// Job is the index of the job, To the index of the other shard.
	Job, To int
	// OwnUse and ToUse are the loads of both shards before the move; see [ShardLoad.Use].
	OwnUse, ToUse float64
}

// Balance decides which waiting jobs move to another shard, which must be less loaded by
// minLoadGap and have room for their waiting tasks targetRoomFactor times.
//
// It answers the load of a shard with more work than capacity beside shards with idle
// workers, since jobs are divided among the shards by their IDs: gangs of low score wait
// there for as long as the load lasts. Jobs at the end of the queue move. Those ahead start
// sooner in the room of their own shard than after a move. If all jobs moved that wait, the
// emptiest shard would be overloaded next, and jobs would move from shard to shard.
func Balance(b Balancing) []BalanceMove {
	own := b.Own
	own.Waiting = lovagestand.Resources{}
	for i := range b.Jobs {
		own.Waiting = own.Waiting.Add(b.Jobs[i].Needs())
	}
	targets := b.targets()
	var moves []BalanceMove
	for _, i := range b.candidates() {
		if len(targets) == 0 || len(moves) == maxBalanceMoves {
			break
		}
		j := &b.Jobs[i]
		needs := j.Needs()
		ownUse := own.Use(needs)
		best := bestTarget(targets, j, needs, ownUse)
		if best == nil {
			continue
		}
		moves = append(moves, BalanceMove{Job: i, To: best.index, OwnUse: ownUse, ToUse: best.load.Use(needs)})
		best.add(j.Steps)
		best.sent, best.budget = true, best.budget.Sub(needs)
		own.Waiting = own.Waiting.Sub(needs)
	}
	return moves
}

// candidates returns the jobs that may be moved in the order in which this is decided: those
// that have waited longest first if they have for long, then those at the end of the queue.
func (b *Balancing) candidates() []int {
	served := b.served()
	var long, others []int
	for i := len(b.Jobs) - 1; i >= 0; i-- {
		j := &b.Jobs[i]
		switch {
		case served[i] || !j.Movable || j.Waited < minBalanceWait:
		case j.Waited >= longBalanceWait:
			long = append(long, i)
		default:
			others = append(others, i)
		}
	}
	slices.SortStableFunc(long, func(a, c int) int { return cmp.Compare(b.Jobs[c].Waited, b.Jobs[a].Waited) })
	return append(long, others...)
}

// served reports for each job whether the free room of its shard, or what is released soon,
// serves it in the order of the ranks.
func (b *Balancing) served() []bool {
	served := make([]bool, len(b.Jobs))
	room := b.Own.Free.Add(b.Soon)
	for i := range b.Jobs {
		needs := b.Jobs[i].Needs()
		if b.Jobs[i].Waited < longBalanceWait && needs.Fits(room) {
			served[i], room = true, room.Sub(needs)
		}
	}
	return served
}

// balanceTarget is another shard during a decision.
type balanceTarget struct {
	index int
	name  string
	load  ShardLoad
	// workers holds the workers with room; Capacity is what is free there.
	workers []Worker
	// lacking holds for how many tasks of a shape there is no room.
	lacking map[Shape]int
	// budget is the part of the room that is left for the shard, given what it has sent.
	budget lovagestand.Resources
	sent   bool
}

// targets returns the shards whose loads are recent.
func (b *Balancing) targets() []*balanceTarget {
	var targets []*balanceTarget
	for i := range b.Others {
		o := &b.Others[i]
		if o.Age > maxLoadAge {
			continue
		}
		t := &balanceTarget{index: i, name: o.Name, load: o.Load, lacking: map[Shape]int{}}
		for _, r := range o.Load.Rooms {
			for range r.Workers {
				t.workers = append(t.workers, Worker{Service: r.Service, Labels: r.Labels, Capacity: r.Free})
			}
		}
		t.add(o.Sent)
		room, senders := t.load.Free.Sub(t.load.Waiting), max(1, b.Senders)
		t.budget = lovagestand.Resources{MilliCPU: room.MilliCPU / senders, MemoryMiB: room.MemoryMiB / senders, Accelerators: room.Accelerators / senders}
		targets = append(targets, t)
	}
	return targets
}

// bestTarget returns the least loaded shard that can be given a job, nil if there is none.
func bestTarget(targets []*balanceTarget, j *WaitingJob, needs lovagestand.Resources, ownUse float64) *balanceTarget {
	var best *balanceTarget
	bestUse := 0.0
	for _, t := range targets {
		use := t.load.Use(needs)
		if use+minLoadGap > ownUse || best != nil && use >= bestUse || !t.hasRoom(j, needs) || j.MayMoveTo != nil && !j.MayMoveTo(t.name) {
			continue
		}
		best, bestUse = t, use
	}
	return best
}

// hasRoom reports whether there is room for a job, targetRoomFactor times and on the share
// of the workers that policy usually allows.
func (t *balanceTarget) hasRoom(j *WaitingJob, needs lovagestand.Resources) bool {
	if !needs.Times(targetRoomFactor).Fits(t.load.Free.Sub(t.load.Waiting)) || t.sent && !needs.Fits(t.budget) {
		return false
	}
	return !slices.ContainsFunc(j.Steps, func(step WaitingTasks) bool {
		wanted := max(targetRoomFactor*step.Tasks, int(math.Ceil(float64(step.Tasks)/j.AllowedShare)))
		return !t.holds(step.Shape, wanted)
	})
}

// holds reports whether there is room for a number of tasks.
func (t *balanceTarget) holds(shape Shape, tasks int) bool {
	if lacking, known := t.lacking[shape]; known && tasks >= lacking {
		return false
	}
	if shape.Slots(t.workers, tasks) == tasks {
		return true
	}
	t.lacking[shape] = tasks
	return false
}

// add takes the room that tasks need and counts them as waiting.
func (t *balanceTarget) add(steps []WaitingTasks) {
	t.load.Waiting = t.load.Waiting.Add(sumNeeds(steps))
	for _, step := range steps {
		t.take(step)
	}
}

// take takes room on the workers, as far as there is any.
func (t *balanceTarget) take(step WaitingTasks) {
	tasks := step.Tasks
	for i := range t.workers {
		w := &t.workers[i]
		n := step.Shape.Slots(t.workers[i:i+1], tasks)
		w.Capacity = w.Capacity.Sub(step.Shape.Needs.Times(int64(n)))
		tasks -= n
		if tasks == 0 {
			return
		}
	}
}
