package drill

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/common/pause"
)

// lookEvery is how often the workers are asked for the tasks started; gaps are
// known to about this much.
const lookEvery = 20 * time.Millisecond

// gaps keeps when the workers were seen to have started something.
type gaps struct {
	mutex  sync.Mutex
	last   int
	starts []time.Time
}

// follow looks at the auditor until ctx ends.
func (g *gaps) follow(ctx context.Context, auditor *remote.Client) {
	for pause.For(ctx, lookEvery) {
		if u, err := auditor.Usage(ctx); err == nil {
			g.note(time.Now(), u.Starts)
		}
	}
}

// note takes the number of starts as of a time.
func (g *gaps) note(at time.Time, starts int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if starts > g.last {
		g.last = starts
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
