package team_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/team"
)

func TestAccounts(t *testing.T) {
	c := qt.New(t)
	quota := lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 100}
	a := team.NewAccounts()
	a.SetTotal(lovagestand.Resources{MilliCPU: 10000, MemoryMiB: 1000})
	a.SetPolicies([]lovagestand.TeamPolicy{{Team: "surveyors", Weight: 2, Quota: &quota}})
	surveyors, drainage := a.ID("surveyors"), a.ID("drainage")
	c.Assert(a.Len(), qt.Equals, 2)
	for _, id := range []team.ID{surveyors, drainage} {
		a.AddUsage(id, lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 400})
	}
	c.Assert(a.Share(surveyors), qt.Equals, 0.2)
	c.Assert(a.Share(drainage), qt.Equals, 0.4)
	c.Assert(a.WithinQuota(surveyors, lovagestand.Resources{}), qt.IsFalse)
	c.Assert(a.WithinQuota(drainage, quota), qt.IsTrue)
	c.Assert(a.ExceedsQuota(surveyors, lovagestand.Resources{MilliCPU: 4001}), qt.IsTrue)
	a.SetPolicies(nil)
	c.Assert(a.Share(surveyors), qt.Equals, 0.4)
	c.Assert(a.WithinQuota(surveyors, quota), qt.IsTrue)
}
