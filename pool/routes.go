package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// routes holds the measured run times and failure rate of each route.
type routes struct {
	ids   map[lovagestand.RouteName]int32
	names []lovagestand.RouteName
	rows  []route
}

type route struct {
	runTimes queue.RunTimes
	failures worker.FailureRate
}

// id returns the index of a route, adding the route if it is new.
func (r *routes) id(name lovagestand.RouteName) int32 {
	if n, ok := r.ids[name]; ok {
		return n
	}
	n := int32(len(r.names))
	r.ids[name] = n
	r.names = append(r.names, name)
	r.rows = append(r.rows, route{})
	return n
}

// minSamples is how many run times must be measured before estimates are based
// on them.
const minSamples = 20

// runTimeP90 returns the run time that nine in ten tasks of a route do not
// exceed. It returns false if too few run times have been measured. Declared
// run times are not considered.
func (r *routes) runTimeP90(n int32) (time.Duration, bool) {
	times := &r.rows[n].runTimes
	return times.Quantile(0.9), times.Samples() >= minSamples
}
