package drill

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/common/pause"
)

// startsInterval is how often the number of started tasks is read. It limits the
// precision of the gaps.
const startsInterval = 20 * time.Millisecond

// gaps records the times at which workers started tasks, to find the longest gap
// between starts.
type gaps struct {
	mutex     sync.Mutex
	lastCount int
	starts    []time.Time
}

// poll reads the number of started tasks from the auditor until ctx is done.
func (g *gaps) poll(ctx context.Context, auditor *remote.Client) {
	for pause.For(ctx, startsInterval) {
		if u, err := auditor.Usage(ctx); err == nil {
			g.record(time.Now(), u.Starts)
		}
	}
}

// record records the number of tasks that had been started at a time.
func (g *gaps) record(at time.Time, starts int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if starts > g.lastCount {
		g.lastCount = starts
		g.starts = append(g.starts, at)
	}
}

// longest returns the longest time without a start between two times.
func (g *gaps) longest(from, until time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	longest := time.Duration(0)
	last := from
	for _, at := range g.starts {
		if at.Before(from) || at.After(until) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, until.Sub(last))
}
