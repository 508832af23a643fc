package election

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// Follower reads all items of the store under a prefix and then follows their
// changes.
type Follower struct {
	Keys   lovagestand.Keyspace
	Prefix string
	// Wait is how long the store may wait for a change before it answers a watch.
	Wait time.Duration
	// Refresh requests that all items be read again. It may be nil.
	Refresh <-chan struct{}
	Log     zerolog.Logger
	// Reset receives all items under the prefix, Apply the changes since then.
	Reset func(items []lovagestand.Item, revision lovagestand.Revision)
	Apply func(items []lovagestand.Item, revision lovagestand.Revision)
	// OnAnswer, if not nil, is called whenever the store has answered.
	OnAnswer func()
	// OnConfirmed, if not nil, is called when everything that the store held at a time
	// has been received. That is the time at which the answered call was sent.
	OnConfirmed func(at time.Time)
	// Spacing, if not nil, returns how long to wait after a change, so that the
	// next watch returns several changes at once.
	Spacing func() time.Duration
}

// Run follows the prefix until ctx ends.
func (f Follower) Run(ctx context.Context) {
	healthy := true
	for ctx.Err() == nil {
		err := f.readAndWatch(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		var compacted *lovagestand.CompactedError
		if !errors.As(err, &compacted) && healthy {
			f.Log.Warn().Err(err).Str("prefix", f.Prefix).Msg("read or watch of the store failed; trying again")
		}
		healthy = errors.As(err, &compacted)
		pause.For(ctx, retryDelay)
	}
}

// readAndWatch reads all items under the prefix and watches them until a call
// fails or a refresh is requested.
func (f Follower) readAndWatch(ctx context.Context) error {
	sentAt := time.Now()
	limited, cancel := lovagestand.WithStallTimeout(ctx, callTimeout)
	items, revision, err := f.Keys.Range(limited, f.Prefix)
	cancel()
	if err != nil {
		return err
	}
	f.Reset(items, revision)
	f.notifyHeard()
	f.notifyConfirmed(sentAt)
	for {
		sentAt = time.Now()
		changes, next, refresh, err := f.watchOnce(ctx, revision)
		if err != nil || refresh {
			return err
		}
		f.notifyHeard()
		if len(changes) > 0 {
			f.Apply(changes, next)
		}
		f.notifyConfirmed(sentAt)
		if len(changes) > 0 && f.Spacing != nil && !pause.For(ctx, f.Spacing()) {
			return ctx.Err()
		}
		revision = next
	}
}

func (f Follower) notifyHeard() {
	if f.OnAnswer != nil {
		f.OnAnswer()
	}
}

func (f Follower) notifyConfirmed(at time.Time) {
	if f.OnConfirmed != nil {
		f.OnConfirmed(at)
	}
}

// watchOnce waits for changes after a revision and returns them with the revision
// from which to continue. It returns early and reports true if a refresh is
// requested.
func (f Follower) watchOnce(ctx context.Context, after lovagestand.Revision) ([]lovagestand.Item, lovagestand.Revision, bool, error) {
	limited, cancel := lovagestand.WithStallTimeout(ctx, f.Wait+callTimeout)
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
	changes, next, err := f.Keys.Watch(limited, f.Prefix, after, f.Wait)
	close(done)
	if <-refreshed {
		return nil, after, true, nil
	}
	return changes, next, false, err
}
