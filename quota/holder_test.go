package quota_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota"
)

// TestUnsentDraftKeepsPendingLowerShare guards against a limit above a share
// that may still take effect. A lower share is sent and its outcome is unknown.
// Then a higher share is drafted but never sent. The lower share must limit the
// team until a newer revision of the ledger has been read.
func TestUnsentDraftKeepsPendingLowerShare(t *testing.T) {
	c := qt.New(t)
	poolShards := []lovagestand.ShardName{"s"}
	busy := map[lovagestand.TeamName]quota.Usage{team: quota.Usage{}.WithWaiting(cores(8))}
	h := quota.NewHolder("s", 1)
	h.SetTables(1, quota.TeamQuotas{team: {Quota: cores(8), Since: 1}})
	var data []byte
	read := func(revision lovagestand.Revision, usage map[lovagestand.TeamName]quota.Usage) *quota.Ledger {
		ledger, err := quota.DecodeLedger(data)
		c.Assert(err, qt.IsNil)
		h.Read(ledger, revision, poolShards)
		h.LowerLimits(ledger, usage)
		return ledger
	}
	for revision := range lovagestand.Revision(2) {
		ledger := read(revision, busy)
		c.Assert(h.Write(ledger, busy, poolShards), qt.IsTrue)
		c.Assert(h.WriteSent(revision), qt.IsTrue)
		h.WriteSucceeded(ledger, revision+1, poolShards)
		var err error
		data, err = ledger.Encode()
		c.Assert(err, qt.IsNil)
	}
	c.Assert(h.Limits()[team], qt.Equals, cores(8))

	idle := read(2, nil)
	c.Assert(h.Write(idle, nil, poolShards), qt.IsTrue)
	c.Assert(h.WriteSent(2), qt.IsTrue)
	lowered := h.Limits()[team]
	c.Assert(lowered.Fits(cores(7)), qt.IsTrue)
	for range 2 {
		ledger := read(2, busy)
		c.Assert(h.Limits()[team].Fits(lowered), qt.IsTrue)
		h.Write(ledger, busy, poolShards)
	}
	read(3, busy)
	c.Assert(h.Limits()[team], qt.Equals, cores(8))
}
