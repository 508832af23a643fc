package jobstore_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// The kinds of outage.
const (
	silent   = "silent"
	rejected = "rejected"
	reset    = "reset"
)

// outageStore is a store with an outage, as seen through connections. A connection that
// was opened before the end of a silent outage gets no reply from its begin on, also
// after its end.
type outageStore struct {
	*keyspace.Store
	kind     string
	from, to time.Time

	mu sync.Mutex
	// idle holds the times at which the idle connections were opened.
	idle  []time.Time
	calls []time.Time
	// waiting holds the contexts of the calls without a reply.
	waiting []context.Context
	maxWait int
}

func newOutageStore(keys *keyspace.Store, kind string, from, to time.Time) *outageStore {
	return &outageStore{Store: keys, kind: kind, from: from, to: to, idle: make([]time.Time, 8)}
}

// connection returns the time at which the connection of a call was opened.
func (o *outageStore) connection(ctx context.Context) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, time.Now())
	if lovagestand.NewConnectionRequired(ctx) {
		o.idle = nil
	}
	if len(o.idle) == 0 {
		return time.Now()
	}
	opened := o.idle[len(o.idle)-1]
	o.idle = o.idle[:len(o.idle)-1]
	return opened
}

// wait waits until a call without a reply is given up.
func (o *outageStore) wait(ctx context.Context) {
	o.mu.Lock()
	o.waiting = slices.DeleteFunc(append(o.waiting, ctx), func(c context.Context) bool { return c.Err() != nil })
	o.maxWait = max(o.maxWait, len(o.waiting))
	o.mu.Unlock()
	<-ctx.Done()
}

func (o *outageStore) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	opened, down := o.connection(ctx), !time.Now().Before(o.from)
	switch {
	case down && o.kind == silent && opened.Before(o.to):
		o.wait(ctx)
		return 0, &lovagestand.UnavailableError{System: "store"}
	case down && o.kind == rejected && time.Now().Before(o.to):
		return 0, &lovagestand.RejectedError{System: "store", Status: 503}
	case down && o.kind == reset && time.Now().Before(o.to):
		return 0, &lovagestand.UnavailableError{System: "store", Refused: true}
	}
	revision, err := o.Store.Commit(ctx, t)
	if !lovagestand.NewConnectionRequired(ctx) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.idle = append(o.idle, opened)
	}
	return revision, err
}

// mostCalls returns the largest number of calls in a second of the outage that begins
// after the first second.
func (o *outageStore) mostCalls() int {
	most := 0
	for i, first := range o.calls {
		if first.Sub(o.from) < time.Second {
			continue
		}
		n := 0
		for _, at := range o.calls[i:] {
			if at.Sub(first) < time.Second && at.Before(o.to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestWritesAfterAnOutage guards against an owner that writes again only long after the
// store does, because its attempts are rare or use connections of the outage, and
// against many calls to a store that is down.
func TestWritesAfterAnOutage(t *testing.T) {
	for _, kind := range []string{silent, rejected, reset} {
		for _, lanes := range []int{1, jobstore.Lanes} {
			for phase := range time.Duration(6) {
				// A second is too short for all idle connections to be used up.
				for _, lasting := range []time.Duration{time.Second, 4200 * time.Millisecond} {
					lasting += phase * 50 * time.Millisecond
					t.Run(fmt.Sprintf("%s/%d lanes/%v", kind, lanes, lasting), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testOutage(t, kind, lanes, lasting) })
					})
				}
			}
		}
	}
}

func testOutage(t *testing.T, kind string, lanes int, lasting time.Duration) {
	c := qt.New(t)
	from := time.Now().Add(20 * time.Second)
	keys := newOutageStore(keyspace.New(), kind, from, from.Add(lasting))
	term := beginTerm(c, keys.Store, "a")
	lease, _, err := keys.Grant(t.Context(), time.Hour)
	c.Assert(err, qt.IsNil)
	term.Lease = lease
	s := jobstore.New(keys, term)
	time.Sleep(time.Until(from))
	var writers sync.WaitGroup
	for lane := range lanes {
		writers.Go(func() {
			c.Check(s.WriteLane(t.Context(), lane, entry(fmt.Sprint(lane), "1")), qt.IsNil)
			if lane == 0 {
				c.Check(s.Write(t.Context(), entry("next", "1")), qt.IsNil)
				c.Check(time.Since(keys.to) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the outage", time.Since(keys.to)))
			}
		})
	}
	writers.Wait()
	c.Check(keys.mostCalls() <= 4, qt.IsTrue, qt.Commentf("%d calls in a second", keys.mostCalls()))
	c.Check(keys.maxWait <= 3*lanes, qt.IsTrue, qt.Commentf("%d attempts waited", keys.maxWait))
	c.Check(stored(c, s), qt.HasLen, lanes+1)
}

// TestAnsweredCallBringsAttemptForward has another call of the instance succeed first
// after an outage.
func TestAnsweredCallBringsAttemptForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		from := time.Now()
		keys := newOutageStore(keyspace.New(), silent, from, from.Add(4210*time.Millisecond))
		s := jobstore.New(keys, beginTerm(c, keys.Store, "a"))
		time.AfterFunc(time.Until(keys.to)+time.Millisecond, s.StoreAnswered)
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(time.Since(keys.to) <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the outage", time.Since(keys.to)))
	})
}
