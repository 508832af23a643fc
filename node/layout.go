package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/layout"
)

const (
	// layoutPollInterval is the time between checks of whether there is a layout
	// and of how many workers there are.
	layoutPollInterval = 250 * time.Millisecond
	// stableFleetTime is how long the number of workers must have been unchanged
	// before the layout is derived from it.
	stableFleetTime = time.Second
	// emptyFleetTimeout is how long to wait for the first worker to register.
	// After that, the layout is decided without any workers.
	emptyFleetTimeout = 5 * time.Second
	// layoutWriteTimeout bounds the write of the layout.
	layoutWriteTimeout = time.Second
)

// awaitLayout waits until the layout is known. It returns false if ctx ends first.
func (n *Node) awaitLayout(ctx context.Context) (layout.Layout, bool) {
	for {
		changed := n.directory.Changed()
		if l, ok := n.directory.Layout(); ok {
			return l, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return layout.Layout{}, false
		}
	}
}

// obtainLayout waits for the layout; it returns false if ctx ends first. When the
// cell starts for the first time, the owner of the first shard decides on the
// layout by the number of workers that are registered then.
func (n *Node) obtainLayout(ctx context.Context, term jobstore.Term) (layout.Layout, bool) {
	begun := time.Now()
	workerCount, unchangedSince := 0, begun
	for {
		if l, ok := n.directory.Layout(); ok {
			return l, true
		}
		if list, err := n.listWorkers(ctx); err == nil && term.Shard == layout.FirstShard {
			if now := time.Now(); len(list.Workers) != workerCount {
				workerCount, unchangedSince = len(list.Workers), now
			} else if now.Sub(unchangedSince) > stableFleetTime && (workerCount > 0 || now.Sub(begun) > emptyFleetTimeout) {
				n.writeLayout(ctx, term, layout.Plan(workerCount, len(n.directory.Members())), workerCount)
			}
		}
		if !pause.For(ctx, layoutPollInterval) {
			return layout.Layout{}, false
		}
	}
}

// writeLayout stores the layout unless one is stored already or the term has
// ended.
func (n *Node) writeLayout(ctx context.Context, term jobstore.Term, l layout.Layout, workers int) {
	value, err := json.Marshal(l)
	if err != nil {
		n.deps.Log.Error().Err(err).Msg("layout cannot be encoded")
		return
	}
	limited, cancel := context.WithTimeout(ctx, layoutWriteTimeout)
	defer cancel()
	_, err = n.deps.Keys.Commit(limited, lovagestand.Transaction{
		If: []lovagestand.Condition{
			{Key: term.Key, Revision: lovagestand.Revision(term.Epoch)}, {Key: election.LayoutKey},
		},
		Set: []lovagestand.Write{{Key: election.LayoutKey, Value: value}},
	})
	var conflict *lovagestand.ConditionError
	if errors.As(err, &conflict) {
		n.directory.Refresh()
	}
	n.deps.Log.Info().Err(err).Int("workers", workers).Int("shards", l.Shards).Msg("tried to write the layout")
}
