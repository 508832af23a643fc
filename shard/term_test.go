package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// TestFormerOwnerDoesNotDenyAJobOfTheNext replays an owner that was replaced
// and has not been told: it must not call a job unknown that the next one took.
func TestFormerOwnerDoesNotDenyAJobOfTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
		former := k.own("a")
		defer former.stop()
		var absent *shard.UnknownJobError
		_, err := former.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &absent)
		later := k.own("b")
		defer later.stop()
		later.submit(c, id(1), job.Step{Count: 1})
		var notOwner *shard.NotOwnerError
		_, err = former.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &notOwner)
		assertPhase(c, later, id(1), "queued")
	})
}

// TestUnknownJobIsNotDeniedWithoutTheStore replays an outage in which an owner
// cannot tell whether it has been replaced.
func TestUnknownJobIsNotDeniedWithoutTheStore(t *testing.T) {
	for name, fault := range map[string]keyspace.Fault{"rejected": keyspace.FaultRejected, "silent": keyspace.FaultLostReply} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
				o := k.own("a")
				defer o.stop()
				k.keys.SetFault(func(string) keyspace.Fault { return fault })
				var notOwner *shard.NotOwnerError
				_, err := o.State(job.ID(id(1)))
				c.Assert(err, qt.ErrorAs, &notOwner)
			})
		})
	}
}
