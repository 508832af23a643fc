package election_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// slowLink is a store whose replies take 3 s to arrive, in parts.
type slowLink struct{ *keyspace.Store }

// receive waits until all parts of a reply have arrived.
func (s slowLink) receive(ctx context.Context) error {
	for range 6 {
		if !pause.For(ctx, 500*time.Millisecond) {
			return &lovagestand.UnavailableError{System: "store", Reason: ctx.Err().Error()}
		}
		lovagestand.RecordProgress(ctx)
	}
	return nil
}

func (s slowLink) Range(ctx context.Context, prefix string) ([]lovagestand.Item, lovagestand.Revision, error) {
	if err := s.receive(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.Range(ctx, prefix)
}

func (s slowLink) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) ([]lovagestand.Item, lovagestand.Revision, error) {
	items, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = s.receive(ctx)
	}
	return items, revision, err
}

// TestFollowerReadsOverASlowLink guards against a follower that never gets a value whose
// reply takes longer than the timeout of a call.
func TestFollowerReadsOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		keys.Put("config/a", []byte("1"))
		received := make(chan string, 10)
		record := func(items []lovagestand.Item, _ lovagestand.Revision) {
			for _, i := range items {
				received <- string(i.Value)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go election.Follower{Keys: slowLink{keys}, Prefix: "config/", Wait: time.Second, Log: zerolog.Nop(), Reset: record, Apply: record}.Run(ctx)
		time.Sleep(4 * time.Second)
		c.Assert(received, qt.HasLen, 1)
		keys.Put("config/a", []byte("2"))
		time.Sleep(10 * time.Second)
		c.Assert(<-received, qt.Equals, "1")
		c.Assert(received, qt.HasLen, 1)
		c.Assert(<-received, qt.Equals, "2")
		cancel()
		synctest.Wait()
	})
}
