package pool

import (
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay after which callers are
	// asked to retry.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// waitEstimateFactor is the part of the estimated wait that must fit before
	// a start deadline. It is less than 1 because estimates are often too long.
	waitEstimateFactor = 0.5
)

// admit returns an error if t can never run in this shard, or if it should not
// wait now because the queue is full or because its start deadline is
// infeasible.
func (d *Decider) admit(now time.Time, t *lovagestand.Task) error {
	p := d.pool(t.Pool)
	if reason := d.unfitReason(p, t); reason != "" {
		return &lovagestand.InfeasibleError{
			Pool: t.Pool, Requested: t.Resources, Largest: p.ledger.LargestCapacity(), Reason: reason,
		}
	}
	rank := rankOf(t.Class)
	waiting := p.waiting[rank]
	limit := p.policy.QueueLimit
	full := limit > 0 && waiting >= limit
	if full || d.deadlineInfeasible(p, now, t, rank) {
		return &lovagestand.QueueFullError{
			Pool: t.Pool, Class: classes[rank], Waiting: waiting, RetryAfter: p.retryAfter(rank),
		}
	}
	return nil
}

// unfitReason returns why no worker can ever run t, or an empty string.
func (d *Decider) unfitReason(p *poolState, t *lovagestand.Task) string {
	size := max(t.GangSize, 1)
	switch {
	case !t.Resources.Valid():
		return "it asks for less than nothing"
	case t.Gang != "" && d.differsFromGang(p, t):
		return "the tasks of a gang must be alike"
	case p.ledger.MaxTasks(t.Resources, size) == 0:
		return d.lackingResource(p, t)
	case p.ledger.MaxTasks(t.Resources, size) < size:
		return "the gang asks for more than all workers have together"
	case !d.options.noQuarantine && d.failedRequests.isBad(t.Key):
		return "the request failed on several workers that run others well"
	}
	return ""
}

// differsFromGang reports whether t differs from the waiting tasks of its gang
// in its resources, class, team or gang size.
func (d *Decider) differsFromGang(p *poolState, t *lovagestand.Task) bool {
	n, ok := d.gangs.byKey[gangKey{p.number, t.Gang}]
	if !ok || len(d.gangs.rows[n].waiting) == 0 {
		return false
	}
	r := d.tasks.at(d.gangs.rows[n].waiting[0])
	return r.size != t.Resources || r.rank != rankOf(t.Class) || r.team != p.team(t.Team) || d.gangs.rows[n].size != max(t.GangSize, 1)
}

// lackingResource returns a reason that names the resource of which no worker
// has enough for t.
func (*Decider) lackingResource(p *poolState, t *lovagestand.Task) string {
	most := p.ledger.LargestCapacity()
	switch {
	case p.ledger.Totals().Workers == 0:
		return "no worker of the pool takes tasks here"
	case t.Resources.MilliCPU > most.MilliCPU:
		return "it asks for more processors than any one worker has"
	case t.Resources.MemoryMiB > most.MemoryMiB:
		return "it asks for more memory than any one worker has"
	case t.Resources.Accelerators > most.Accelerators:
		return "it asks for more accelerators than any one worker has"
	}
	return "no one worker has all that it asks for"
}

// deadlineInfeasible reports whether t is expected to miss its start deadline.
// It returns false while too few run times have been measured for an estimate.
func (d *Decider) deadlineInfeasible(p *poolState, now time.Time, t *lovagestand.Task, rank int8) bool {
	if d.options.noLoadShedding || t.StartBy.IsZero() || p.meanRunTime.samples < minSamples {
		return false
	}
	wait := time.Duration(waitEstimateFactor * float64(p.estimateWait(rank)))
	return now.Add(wait).After(t.StartBy)
}

// assumedStopTime is how long a preempted task is assumed to take to stop.
const assumedStopTime = time.Second

// estimateWait estimates how long a new task of a class waits: the number of
// tasks ahead of it divided by the rate at which running tasks end. For urgent
// tasks, the rate at which batch tasks can be preempted is added. Services are
// not counted as they do not end.
func (p *poolState) estimateWait(rank int8) time.Duration {
	ahead := 0
	for k := int8(0); k <= rank; k++ {
		ahead += p.waiting[k]
	}
	ending := p.ledger.Totals().Tasks - p.running[rankService]
	if ahead == 0 || ending <= 0 || p.meanRunTime.mean <= 0 {
		return 0
	}
	rate := float64(ending) / p.meanRunTime.mean
	if rank == rankUrgent {
		rate += float64(p.preemptibleCount) / float64(assumedStopTime)
	}
	return time.Duration(float64(ahead) / rate)
}

func (p *poolState) retryAfter(rank int8) time.Duration {
	return min(max(p.estimateWait(rank), minRetryAfter), maxRetryAfter)
}
