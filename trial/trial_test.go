package trial_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial"
)

const routes = `routes:
  - {name: quote, pool: runners, class: urgent, idempotent: true, resources: {processors: 1, memory: 1GiB}, startWithin: 10s}
  - {name: plan, pool: runners, class: batch, resources: {processors: 1, memory: 1GiB}, startWithin: 10s}
`

const pools = `pools:
  - {name: runners, runner: glazedesk, regions: [ernakulam, malabar, travancore]}
`

// runTrial runs a short trial of a fake scheduler that commits one kind of
// violation, or none if violation is empty.
func runTrial(c *qt.C, violation, faults string) report.Report {
	c.Helper()
	tables, err := table.Parse([]byte(routes), []byte(pools))
	c.Assert(err, qt.IsNil)
	chosen, err := trial.ParseFaults(faults)
	c.Assert(err, qt.IsNil)
	scheduler := &fakeScheduler{tables: tables, violation: violation, calls: map[lovagestand.RequestKey]*call{}}
	r, err := trial.Run(context.Background(), trial.Config{
		Tables: tables, Duration: 600 * time.Millisecond, Rate: 50, Seed: 1, Faults: chosen, Launch: scheduler.launch,
	})
	c.Assert(err, qt.IsNil)
	return r
}

func TestCorrectSchedulerHasNoViolations(t *testing.T) {
	for _, faults := range []string{"", "planned-stop,store-outage,table-race"} {
		t.Run("faults "+faults, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := runTrial(c, "", faults)
			c.Assert(r.Audit.Total(), qt.Equals, 0, qt.Commentf("%v", r.Audit.Violations))
			done := 0
			for _, k := range r.Kinds {
				done += k.Done
			}
			c.Assert(done > 0, qt.IsTrue)
			c.Assert(r.Totals.Placements > 0, qt.IsTrue)
			c.Assert(r.Totals.ControlBytes > 0, qt.IsTrue)
		})
	}
}

func TestViolationsAreCounted(t *testing.T) {
	for _, kind := range []audit.Kind{
		audit.KindOverCommit, audit.KindRepeated, audit.KindWrongAnswer, audit.KindFalseNotRun, audit.KindReverted,
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := runTrial(c, string(kind), "")
			c.Assert(r.Audit.Of(kind) > 0, qt.IsTrue)
			c.Assert(r.Audit.Total(), qt.Equals, r.Audit.Of(kind))
		})
	}
}

func TestParseFaults(t *testing.T) {
	c := qt.New(t)
	all, err := trial.ParseFaults("all")
	c.Assert(err, qt.IsNil)
	c.Assert(all, qt.HasLen, 10)
	two, err := trial.ParseFaults("kill, region-cut")
	c.Assert(err, qt.IsNil)
	c.Assert(two[1].Name, qt.Equals, "region-cut")
	_, err = trial.ParseFaults("kill,flood")
	var unknown *trial.UnknownFaultError
	c.Assert(err, qt.ErrorAs, &unknown)
	c.Assert(unknown.Name, qt.Equals, "flood")
}
