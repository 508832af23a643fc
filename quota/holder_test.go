package quota_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota"
)

// TestUnsentDraftKeepsPendingLowerShare has a lower share written with no known
// outcome, then a higher one drafted and never sent.
func TestUnsentDraftKeepsPendingLowerShare(t *testing.T) {
	c := qt.New(t)
	known := []lovagestand.ShardName{"s"}
	busy := map[lovagestand.TeamName]quota.Usage{team: quota.Usage{}.WithWaiting(cores(8))}
	h := quota.NewHolder("s", 1)
	h.SetTables(1, quota.TeamQuotas{team: {Quota: cores(8), Since: 1}})
	var data []byte
	read := func(revision lovagestand.Revision, usage map[lovagestand.TeamName]quota.Usage) *quota.Ledger {
		book, err := quota.DecodeLedger(data)
		c.Assert(err, qt.IsNil)
		h.Read(book, revision, known)
		h.LowerLimits(book, usage)
		return book
	}
	for revision := range lovagestand.Revision(2) {
		book := read(revision, busy)
		c.Assert(h.Write(book, busy, known), qt.IsTrue)
		c.Assert(h.WriteSent(revision), qt.IsTrue)
		h.WriteSucceeded(book, revision+1, known)
		var err error
		data, err = book.Encode()
		c.Assert(err, qt.IsNil)
	}
	c.Assert(h.Limits()[team], qt.Equals, cores(8))

	idle := read(2, nil)
	c.Assert(h.Write(idle, nil, known), qt.IsTrue)
	c.Assert(h.WriteSent(2), qt.IsTrue)
	lowered := h.Limits()[team]
	c.Assert(lowered.Fits(cores(7)), qt.IsTrue)
	for range 2 {
		book := read(2, busy)
		c.Assert(h.Limits()[team].Fits(lowered), qt.IsTrue)
		h.Write(book, busy, known)
	}
	read(3, busy)
	c.Assert(h.Limits()[team], qt.Equals, cores(8))
}
