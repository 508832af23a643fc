package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// TestJobsFollowTheServiceOfTheirRoute guards against jobs that never run again because their
// route was sent to another service and the workers of the former one have left.
func TestJobsFollowTheServiceOfTheirRoute(t *testing.T) {
	for name, test := range map[string]struct {
		// services holds the services of w0 and w1, the second of which is about to leave
		// if leaves is set.
		services []string
		leaves   bool
		// route is the service of the job's route in version 2 of the configuration, empty
		// if the route was removed.
		route string
		// accepted is the version with which the job was accepted on service "old".
		accepted int64
		runsOn   lovagestand.WorkerName
	}{
		"the route has moved":                {[]string{"new", "old"}, false, "new", 1, "w0"},
		"the former workers leave":           {[]string{"new", "old"}, true, "new", 1, "w0"},
		"the new service has no workers":     {[]string{"other", "old"}, false, "new", 1, "w1"},
		"the route was removed":              {[]string{"new", "old"}, false, "", 1, "w1"},
		"accepted with a later version":      {[]string{"new", "old"}, false, "new", 3, "w1"},
		"accepted before versions were kept": {[]string{"new", "old"}, false, "new", 0, "w0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(2*time.Second, lovagestand.EndingDone))
				k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
					for i := range workers {
						workers[i].Service = test.services[i]
					}
					workers[1].Ready = !test.leaves
					return workers
				})
				services := shard.Services{Version: 2, ByRoute: map[lovagestand.RouteName]string{}}
				if test.route != "" {
					services.ByRoute["quote"] = test.route
				}
				o := k.beginTerm("a", func(d *shard.Deps) {
					d.Services = func() (shard.Services, bool) { return services, true }
				})
				defer o.stop()
				time.Sleep(time.Second)
				c.Assert(o.submitJob(job.Job{
					ID: job.ID(id(1)), Steps: []job.Step{{Count: 1}},
					Policy: job.Policy{Version: test.accepted, Route: "quote", Service: "old", MaxAttempts: 2, Stretch: 2, Target: time.Second},
				}), qt.IsNil)
				time.Sleep(time.Second)
				runs := k.fleet.Runs()
				c.Assert(runs, qt.HasLen, 1)
				c.Check(runs[0].Worker, qt.Equals, test.runsOn)
				time.Sleep(2 * time.Second)
				assertPhase(c, o, id(1), "completed")
			})
		})
	}
}
