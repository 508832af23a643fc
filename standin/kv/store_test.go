package kv_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/kv"
)

// firstWrite is the revision of the first write to a store. The revision counter
// starts at 1 and increases with each change of any key.
const firstWrite = lovagestand.Revision(2)

func assertUnavailable(c *qt.C, err error) {
	c.Helper()
	var target *lovagestand.UnavailableError
	c.Assert(errors.As(err, &target), qt.IsTrue, qt.Commentf("%v", err))
}

func assertRevision(c *qt.C, s *kv.Store, key string, want lovagestand.Revision) {
	c.Helper()
	value, err := s.Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	c.Assert(value.Revision, qt.Equals, want)
}

func TestRevisionsAreNeverReused(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := kv.New()
	first, err := s.Put(ctx, "a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Delete(ctx, "a", first), qt.IsNil)
	assertRevision(c, s, "a", 0)
	second, err := s.Put(ctx, "a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := kv.New(kv.WithRates(2, 1))
		assertRevision(c, s, "a", 0)
		assertRevision(c, s, "a", 0)
		_, err := s.Get(t.Context(), "a")
		assertUnavailable(c, err)
		time.Sleep(time.Second)
		assertRevision(c, s, "a", 0)
		counts := s.Counts()
		c.Assert(counts.Get, qt.Equals, uint64(4))
		c.Assert(counts.Limited, qt.Equals, uint64(1))
	})
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := kv.New()
		start := time.Now()
		value, err := s.Watch(t.Context(), "a", 0, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(value.Revision, qt.Equals, lovagestand.Revision(0))
		c.Assert(time.Since(start), qt.Equals, time.Second)

		time.AfterFunc(time.Second, func() { _, _ = s.Put(context.Background(), "a", nil, 0, 0) })
		value, err = s.Watch(t.Context(), "a", 0, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(value.Revision, qt.Equals, firstWrite)
		c.Assert(s.Counts().MostWaiting, qt.Equals, 1)

		time.AfterFunc(time.Second, func() { s.SetFaults(kv.Faults{Down: true}) })
		_, err = s.Watch(t.Context(), "a", firstWrite, time.Minute)
		assertUnavailable(c, err)
		c.Assert(s.Counts().Waiting, qt.Equals, 0)
	})
}

func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := kv.New()
		id, err := s.Grant(t.Context(), 2*time.Second)
		c.Assert(err, qt.IsNil)
		_, err = s.Put(t.Context(), "a", nil, 0, id)
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(s.Renew(t.Context(), id), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		assertRevision(c, s, "a", firstWrite)
		time.Sleep(time.Second)
		assertRevision(c, s, "a", 0)
		var ended *lovagestand.LeaseEndedError
		c.Assert(errors.As(s.Renew(t.Context(), id), &ended), qt.IsTrue)
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := kv.New()
		s.SetFaults(kv.Faults{LoseReplies: 1})
		_, err := s.Put(t.Context(), "a", nil, 0, 0)
		assertUnavailable(c, err)
		assertRevision(c, s, "a", firstWrite)

		s.SetFaults(kv.Faults{EffectDelay: time.Second})
		_, err = s.Put(t.Context(), "b", nil, 0, 0)
		assertUnavailable(c, err)
		assertRevision(c, s, "b", 0)
		time.Sleep(1001 * time.Millisecond)
		assertRevision(c, s, "b", firstWrite+1)

		s.SetFaults(kv.Faults{Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.Get(ctx, "a")
		assertUnavailable(c, err)
	})
}

func BenchmarkPutGet(b *testing.B) {
	s := kv.New(kv.WithRates(1<<40, 1<<40))
	ctx := context.Background()
	revision := lovagestand.Revision(0)
	for b.Loop() {
		revision, _ = s.Put(ctx, "a", nil, revision, 0)
		_, _ = s.Get(ctx, "a")
	}
}
