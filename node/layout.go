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
	// layoutPollInterval spaces looks at what the layout depends on.
	layoutPollInterval = 250 * time.Millisecond
	// stableFleetTime is how long the number of workers must not change before it
	// decides on the layout.
	stableFleetTime = time.Second
	// emptyFleetTimeout is how long to wait for workers at all.
	emptyFleetTimeout = 5 * time.Second
	// layoutWriteTimeout bounds the write of the layout.
	layoutWriteTimeout = time.Second
)

// awaitLayout waits until the layout is known; false if ctx ends before.
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

// obtainLayout returns the layout. The owner of the first shard decides on it
// when the cell starts for the first time, by the workers registered then.
func (n *Node) obtainLayout(ctx context.Context, term jobstore.Term) (layout.Layout, bool) {
	begun := time.Now()
	workerCount, unchangedSince := 0, begun
	for {
		if l, ok := n.directory.Layout(); ok {
			return l, true
		}
		if list, err := n.listWorkers(ctx); err == nil && term.Shard == layout.FirstShard {
			if now := time.Now(); len(list) != workerCount {
				workerCount, unchangedSince = len(list), now
			} else if now.Sub(unchangedSince) > stableFleetTime && (workerCount > 0 || now.Sub(begun) > emptyFleetTimeout) {
				n.writeLayout(ctx, term, layout.Plan(workerCount, len(n.directory.Members())), workerCount)
			}
		}
		if !pause.For(ctx, layoutPollInterval) {
			return layout.Layout{}, false
		}
	}
}

// writeLayout writes the layout unless there is one.
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
	n.deps.Log.Info().Err(err).Int("workers", workers).Int("shards", l.Shards).Msg("layout decided on")
}
