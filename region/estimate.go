package region

import (
	"math"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// assumedRunTime is the run time assumed for tasks that declare none.
const assumedRunTime = time.Second

// waitEstimate is the expected wait of a task at a candidate.
type waitEstimate struct {
	wait time.Duration
	// free is the expected free fraction of the pool's capacity.
	free float64
	// noise is the uncertainty of wait. It grows with the number of tasks that
	// were sent or are assumed to have ended since the digest, as the digest
	// does not show them.
	noise time.Duration
}

// better reports whether e has a shorter wait than f, or the same wait and more
// free capacity.
func (e waitEstimate) better(f waitEstimate) bool {
	if e.wait != f.wait {
		return e.wait < f.wait
	}
	return e.free > f.free
}

// estimateWait returns the expected wait of t at a candidate, where sent is the
// number of tasks sent there since the digest, all assumed to be like t. The
// wait is that of the digest, plus endInterval for each task in excess of those
// assumed to have ended since. If the digest shows no wait, t itself is counted
// as well and the tasks that fit into the free capacity are not in excess.
func estimateWait(t lovagestand.Task, c *Candidate, sent int) waitEstimate {
	p, _ := c.Pool(t.Pool)
	wait := p.Wait[t.Class]
	free := fitCount(t.Resources, p.Free)
	// The running tasks and those that fit into the free capacity can run at
	// the same time.
	parallel := max(p.Running+free, 1)
	endInterval := expectedRunTime(t) / time.Duration(parallel)
	ended := min(int(c.Age/max(endInterval, 1)), sent)
	excess := sent - ended
	if wait == 0 {
		excess += 1 - free
	}
	if excess > 0 {
		wait += time.Duration(excess) * endInterval
	}
	used := t.Resources.Times(int64(sent - ended)).Add(p.Capacity.Sub(p.Free))
	return waitEstimate{
		wait:  wait,
		free:  1 - used.DominantShare(p.Capacity),
		noise: time.Duration(math.Sqrt(float64(sent+ended)) * float64(endInterval)),
	}
}

// fitCount returns how many tasks of a size fit into the free resources.
func fitCount(task, free lovagestand.Resources) int {
	const maxCount = 1 << 20
	n := int64(maxCount)
	if task.MilliCPU > 0 {
		n = min(n, free.MilliCPU/task.MilliCPU)
	}
	if task.MemoryMiB > 0 {
		n = min(n, free.MemoryMiB/task.MemoryMiB)
	}
	if task.Accelerators > 0 {
		n = min(n, free.Accelerators/task.Accelerators)
	}
	return int(max(n, 0))
}

func expectedRunTime(t lovagestand.Task) time.Duration {
	if t.RunTime > 0 {
		return t.RunTime
	}
	return assumedRunTime
}
