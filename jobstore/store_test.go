package jobstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/standin/keyspace"
)

const ownerKey = "cell/owner/0"

// beginTerm starts a term in the way an election candidate does.
func beginTerm(c *qt.C, keys *keyspace.Store, name string) jobstore.Term {
	item, err := keys.Item(context.Background(), ownerKey)
	c.Assert(err, qt.IsNil)
	revision, err := keys.Commit(context.Background(), lovagestand.Transaction{
		If: []lovagestand.Condition{{Key: ownerKey, Revision: item.Revision}},
		Set: []lovagestand.Write{
			{Key: ownerKey, Value: []byte(name)},
			{Key: jobstore.SequenceKey("0"), Value: []byte("begin " + name)},
		},
	})
	c.Assert(err, qt.IsNil)
	return jobstore.Term{Shard: "0", Key: ownerKey, Epoch: lovagestand.Epoch(revision), Sequence: revision}
}

func entry(id, value string) []jobstore.Entry {
	return []jobstore.Entry{{ID: id, Value: []byte(value)}}
}

func stored(c *qt.C, s *jobstore.Store) map[string]string {
	entries, err := s.Load(context.Background())
	c.Assert(err, qt.IsNil)
	out := map[string]string{}
	for _, e := range entries {
		out[e.ID] = string(e.Value)
	}
	return out
}

// faultOnce injects a fault into the first call of a kind.
func faultOnce(keys *keyspace.Store, call string, fault keyspace.Fault) {
	injected := false
	keys.SetFault(func(name string) keyspace.Fault {
		if name != call || injected {
			return keyspace.FaultNone
		}
		injected = true
		return fault
	})
}

func TestWrite(t *testing.T) {
	for name, fault := range map[string]keyspace.Fault{
		"plain": keyspace.FaultNone, "rejected": keyspace.FaultRejected, "request lost": keyspace.FaultLostRequest,
		"reply lost": keyspace.FaultLostReply,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				keys := keyspace.New()
				s := jobstore.New(keys, beginTerm(c, keys, "a"))
				faultOnce(keys, "commit", fault)
				c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
				c.Assert(s.Write(t.Context(), entry("x", "2")), qt.IsNil)
				c.Assert(stored(c, s), qt.DeepEquals, map[string]string{"x": "2"})
			})
		})
	}
}

func TestLateWriteDoesNotOverwriteNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		s := jobstore.New(keys, beginTerm(c, keys, "a"))
		faultOnce(keys, "commit", keyspace.FaultLate)
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(s.Write(t.Context(), entry("x", "2")), qt.IsNil)
		keys.ApplyLate()
		c.Assert(stored(c, s), qt.DeepEquals, map[string]string{"x": "2"})
	})
}

func TestFormerOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		former := jobstore.New(keys, beginTerm(c, keys, "a"))
		c.Assert(former.Write(t.Context(), entry("x", "1")), qt.IsNil)
		later := jobstore.New(keys, beginTerm(c, keys, "b"))
		var termEnded *jobstore.TermEndedError
		c.Assert(former.Write(t.Context(), entry("x", "2")), qt.ErrorAs, &termEnded)
		c.Assert(stored(c, later), qt.DeepEquals, map[string]string{"x": "1"})
	})
}

func TestLostReplyIsDetectedQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		s := jobstore.New(keys, beginTerm(c, keys, "a"))
		faultOnce(keys, "commit", keyspace.FaultLostReply)
		start := time.Now()
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(time.Since(start) < 300*time.Millisecond, qt.IsTrue)
	})
}

// slowKeyspace is a store that answers commits late.
type slowKeyspace struct {
	*keyspace.Store
	latency time.Duration
}

func (k slowKeyspace) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	select {
	case <-time.After(k.latency):
		return k.Store.Commit(ctx, t)
	case <-ctx.Done():
		return 0, &lovagestand.UnavailableError{System: "store"}
	}
}

// TestSlowReplyIsNotGivenUp has a store become slow: the first write in that time must
// take no longer than one reply, although the store is expected to answer earlier.
func TestSlowReplyIsNotGivenUp(t *testing.T) {
	for _, latency := range []time.Duration{230 * time.Millisecond, 310 * time.Millisecond, 450 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				keys := keyspace.New()
				s := jobstore.New(slowKeyspace{keys, latency}, beginTerm(c, keys, "a"))
				start := time.Now()
				c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
				c.Assert(time.Since(start), qt.Equals, latency)
				c.Assert(s.Write(t.Context(), entry("x", "2")), qt.IsNil)
				c.Assert(stored(c, s), qt.DeepEquals, map[string]string{"x": "2"})
			})
		})
	}
}

func TestWriteFailuresAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		reports := 0
		s := jobstore.New(keys, beginTerm(c, keys, "a"), jobstore.WithWriteFailureHandler(func() { reports++ }))
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(reports, qt.Equals, 0)
		keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultRejected })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(s.Write(ctx, entry("x", "2")), qt.Not(qt.IsNil))
		c.Assert(reports, qt.Equals, 2)
	})
}

// TestLostRepliesDoNotEndTermAfterTerm guards against owners that have themselves deposed,
// one after the other, because the store loses replies to all of them.
func TestLostRepliesDoNotEndTermAfterTerm(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				keys := keyspace.New()
				reports := 0
				s := jobstore.New(keys, beginTerm(c, keys, "a"), jobstore.WithWriteFailureHandler(func() { reports++ }))
				random := rand.New(rand.NewPCG(seed, 3))
				keys.SetFault(func(string) keyspace.Fault {
					if random.Float64() < 0.3 {
						return keyspace.FaultLostReply
					}
					return keyspace.FaultNone
				})
				begun := time.Now()
				writes := 0
				for time.Since(begun) < 8*time.Second {
					writes++
					c.Assert(s.Write(t.Context(), entry("x", fmt.Sprint(writes))), qt.IsNil)
					time.Sleep(50 * time.Millisecond)
				}
				c.Assert(reports, qt.Equals, 0)
				c.Assert(writes > 30, qt.IsTrue, qt.Commentf("%d writes", writes))
			})
		})
	}
}

func TestMissingReplyOfALongTermIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		reports := 0
		s := jobstore.New(keys, beginTerm(c, keys, "a"), jobstore.WithWriteFailureHandler(func() { reports++ }))
		time.Sleep(10 * time.Second)
		faultOnce(keys, "commit", keyspace.FaultLostRequest)
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(reports, qt.Equals, 1)
	})
}

func TestRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		s := jobstore.New(keys, beginTerm(c, keys, "a"))
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(s.Write(t.Context(), entry("x", "")), qt.IsNil)
		c.Assert(stored(c, s), qt.HasLen, 0)
	})
}

// TestLateLaneWriteHasNoEffectAfterLeaseEnds covers a write that the store applies
// only after the lease of the ownership has ended. The condition that the lane's key
// does not exist holds again by then, since the key ended with the lease.
func TestLateLaneWriteHasNoEffectAfterLeaseEnds(t *testing.T) {
	for name, next := range map[string]bool{"without a new owner": false, "after a write of the next owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				keys := keyspace.New()
				lease, _, err := keys.Grant(t.Context(), time.Minute)
				c.Assert(err, qt.IsNil)
				revision, err := keys.Commit(t.Context(), lovagestand.Transaction{Set: []lovagestand.Write{
					{Key: ownerKey, Value: []byte("a"), Lease: lease}, {Key: jobstore.SequenceKey("0"), Value: []byte("begin a")},
				}})
				c.Assert(err, qt.IsNil)
				s := jobstore.New(keys, jobstore.Term{
					Shard: "0", Key: ownerKey, Epoch: lovagestand.Epoch(revision), Sequence: revision, Lease: lease,
				})
				faultOnce(keys, "commit", keyspace.FaultLate)
				c.Assert(s.WriteLane(t.Context(), 1, entry("x", "1")), qt.IsNil)
				c.Assert(s.WriteLane(t.Context(), 1, entry("x", "2")), qt.IsNil)
				c.Assert(keys.Revoke(t.Context(), lease), qt.IsNil)
				value := "2"
				if next {
					later := jobstore.New(keys, beginTerm(c, keys, "b"))
					c.Assert(later.Write(t.Context(), entry("x", "3")), qt.IsNil)
					value = "3"
				}
				keys.ApplyLate()
				c.Assert(stored(c, s), qt.DeepEquals, map[string]string{"x": value})
				var termEnded *jobstore.TermEndedError
				c.Assert(s.WriteLane(t.Context(), 1, entry("x", "4")), qt.ErrorAs, &termEnded)
				c.Assert(s.WriteLane(t.Context(), 2, entry("x", "4")), qt.ErrorAs, &termEnded)
				c.Assert(s.CheckOwnership(t.Context()), qt.ErrorAs, &termEnded)
			})
		})
	}
}
