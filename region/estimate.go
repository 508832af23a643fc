package region

import (
	"math"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// assumedRunTime stands in for the run time of tasks that declare none.
const assumedRunTime = time.Second

// waitEstimate is what is expected of a candidate.
type waitEstimate struct {
	wait time.Duration
	// free is the fraction of the pool's capacity that is free.
	free float64
	// noise is by how much the wait may be off through tasks sent and ended
	// since the digest, which are counted but not seen.
	noise time.Duration
}

// better reports whether e promises more than f.
func (e waitEstimate) better(f waitEstimate) bool {
	if e.wait != f.wait {
		return e.wait < f.wait
	}
	return e.free > f.free
}

// estimateWait expects the wait of the digest, and more once the tasks like t
// that were sent since exceed what was free and what has ended since.
func estimateWait(t lovagestand.Task, c *Candidate, sent int) waitEstimate {
	p, _ := c.Pool(t.Pool)
	wait := p.Wait[t.Class]
	free := fitCount(t.Resources, p.Free)
	// As many can run at once as run already and as fit besides.
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

// fitCount returns how many tasks of a size fit into an amount.
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
