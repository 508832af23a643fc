package election

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// Follower keeps a copy of a prefix of the store up to date.
type Follower struct {
	Keys   lovagestand.Keyspace
	Prefix string
	Wait   time.Duration
	// Refresh asks for a new reading; nil never does.
	Refresh <-chan struct{}
	Log     zerolog.Logger
	// Reset takes the whole range, Apply the changes since.
	Reset func(items []lovagestand.Item, revision lovagestand.Revision)
	Apply func(items []lovagestand.Item, revision lovagestand.Revision)
	// Heard is called whenever the store has answered; nil calls nothing.
	Heard func()
	// Spacing returns how long to wait after a change for more of them; nil
	// does not wait.
	Spacing func() time.Duration
}

// Run follows until ctx ends.
func (f Follower) Run(ctx context.Context) {
	healthy := true
	for ctx.Err() == nil {
		err := f.readAndWatch(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		var compacted *lovagestand.CompactedError
		if !errors.As(err, &compacted) && healthy {
			f.Log.Warn().Err(err).Str("prefix", f.Prefix).Msg("watch of the store lost")
		}
		healthy = errors.As(err, &compacted)
		pause.For(ctx, retryDelay)
	}
}

// readAndWatch reads the range and follows it until a call fails or a new reading is
// asked for.
func (f Follower) readAndWatch(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	items, revision, err := f.Keys.Range(limited, f.Prefix)
	cancel()
	if err != nil {
		return err
	}
	f.Reset(items, revision)
	f.notifyHeard()
	for {
		changes, next, refresh, err := f.watchOnce(ctx, revision)
		if err != nil || refresh {
			return err
		}
		f.notifyHeard()
		if len(changes) > 0 {
			f.Apply(changes, next)
			if f.Spacing != nil && !pause.For(ctx, f.Spacing()) {
				return ctx.Err()
			}
		}
		revision = next
	}
}

func (f Follower) notifyHeard() {
	if f.Heard != nil {
		f.Heard()
	}
}

func (f Follower) watchOnce(ctx context.Context, after lovagestand.Revision) ([]lovagestand.Item, lovagestand.Revision, bool, error) {
	limited, cancel := context.WithTimeout(ctx, f.Wait+callTimeout)
	defer cancel()
	done := make(chan struct{})
	refreshed := make(chan bool, 1)
	go func() {
		select {
		case <-f.Refresh:
			refreshed <- true
			cancel()
		case <-done:
			refreshed <- false
		}
	}()
	changes, next, err := f.Keys.Follow(limited, f.Prefix, after, f.Wait)
	close(done)
	if <-refreshed {
		return nil, after, true, nil
	}
	return changes, next, false, err
}
