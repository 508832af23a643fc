package region

import (
	"math"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// assumedRunTime stands in for the run time of tasks that declare none.
const assumedRunTime = time.Second

// estimate is what is expected of a candidate.
type estimate struct {
	wait time.Duration
	// free is the fraction of the pool's capacity that is free.
	free float64
	// noise is by how much the wait may be off through tasks sent and ended
	// since the digest, which are counted but not seen.
	noise time.Duration
}

// better reports whether e promises more than f.
func (e estimate) better(f estimate) bool {
	if e.wait != f.wait {
		return e.wait < f.wait
	}
	return e.free > f.free
}

// estimateOf expects the wait of the digest, and more once the tasks like t
// that were sent since exceed what was free and what has ended since.
func estimateOf(t lovagestand.Task, c *Candidate, sent int) estimate {
	p, _ := c.Pool(t.Pool)
	wait := p.Wait[t.Class]
	free := room(t.Resources, p.Free)
	// As many can run at once as run already and as fit besides.
	atOnce := max(p.Running+free, 1)
	turn := runTime(t) / time.Duration(atOnce)
	ended := min(int(c.Age/max(turn, 1)), sent)
	beyond := sent - ended
	if wait == 0 {
		beyond += 1 - free
	}
	if beyond > 0 {
		wait += time.Duration(beyond) * turn
	}
	taken := t.Resources.Times(int64(sent - ended)).Add(p.Capacity.Sub(p.Free))
	return estimate{
		wait:  wait,
		free:  1 - taken.DominantShare(p.Capacity),
		noise: time.Duration(math.Sqrt(float64(sent+ended)) * float64(turn)),
	}
}

// room returns how many tasks of a size fit into an amount.
func room(task, free lovagestand.Resources) int {
	const plenty = 1 << 20
	n := int64(plenty)
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

func runTime(t lovagestand.Task) time.Duration {
	if t.RunTime > 0 {
		return t.RunTime
	}
	return assumedRunTime
}
