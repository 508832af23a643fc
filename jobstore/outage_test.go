package jobstore_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// TestWritesAfterAnOutage guards against an owner that writes again only long after the
// store does, because its attempts are rare or use connections of the outage, and
// against many calls to a store that is down.
func TestWritesAfterAnOutage(t *testing.T) {
	for _, kind := range []keyspace.OutageKind{keyspace.OutageSilent, keyspace.OutageRejecting, keyspace.OutageResetting} {
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

func testOutage(t *testing.T, kind keyspace.OutageKind, lanes int, lasting time.Duration) {
	c := qt.New(t)
	from := time.Now().Add(20 * time.Second)
	keys := keyspace.NewClient(keyspace.New(), kind, from, from.Add(lasting))
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
				c.Check(time.Since(keys.To) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the outage", time.Since(keys.To)))
			}
		})
	}
	writers.Wait()
	c.Check(keys.MostCommits() <= 4, qt.IsTrue, qt.Commentf("%d calls in a second", keys.MostCommits()))
	c.Check(keys.MostUnanswered() <= 3*lanes, qt.IsTrue, qt.Commentf("%d attempts waited", keys.MostUnanswered()))
	c.Check(stored(c, s), qt.HasLen, lanes+1)
}

// TestAnsweredCallBringsAttemptForward has another call of the instance succeed first
// after an outage.
func TestAnsweredCallBringsAttemptForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		from := time.Now()
		keys := keyspace.NewClient(keyspace.New(), keyspace.OutageSilent, from, from.Add(4210*time.Millisecond))
		s := jobstore.New(keys, beginTerm(c, keys.Store, "a"))
		time.AfterFunc(time.Until(keys.To)+time.Millisecond, s.StoreAnswered)
		c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
		c.Assert(time.Since(keys.To) <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the outage", time.Since(keys.To)))
	})
}

// TestReportsAfterAnOutage guards against an owner that has itself replaced because a
// reply is missing just after an outage. A rejection is still reported, and so is a
// missing reply later.
func TestReportsAfterAnOutage(t *testing.T) {
	for name, report := range map[string]struct {
		after time.Duration
		fault keyspace.Fault
		want  bool
	}{
		"missing reply": {1200 * time.Millisecond, keyspace.FaultLostRequest, false}, "rejection": {1200 * time.Millisecond, keyspace.FaultRejected, true},
		"missing reply later": {2100 * time.Millisecond, keyspace.FaultLostRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				from := time.Now().Add(20 * time.Second)
				keys := keyspace.NewClient(keyspace.New(), keyspace.OutageSilent, from, from.Add(4200*time.Millisecond))
				reports := 0
				s := jobstore.New(keys, beginTerm(c, keys.Store, "a"), jobstore.WithWriteFailureHandler(func() { reports++ }))
				time.Sleep(time.Until(from))
				c.Assert(s.Write(t.Context(), entry("x", "1")), qt.IsNil)
				c.Assert(reports > 0, qt.IsTrue)
				reports = 0
				time.Sleep(report.after)
				fault := time.Now()
				keys.Store.SetFault(func(string) keyspace.Fault {
					if time.Since(fault) < 250*time.Millisecond {
						return report.fault
					}
					return keyspace.FaultNone
				})
				c.Assert(s.Write(t.Context(), entry("x", "2")), qt.IsNil)
				c.Assert(reports > 0, qt.Equals, report.want)
			})
		})
	}
}
