package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// routes holds what was learned of each route.
type routes struct {
	ids   map[lovagestand.RouteName]int32
	names []lovagestand.RouteName
	rows  []route
}

type route struct {
	runTimes queue.RunTimes
	failures worker.FailureRate
}

// id returns a route's place, adding a new one.
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

// minSamples is how many run times make a route's distribution one to
// plan with.
const minSamples = 20

// runTimeP90 returns a run time that nine in ten tasks of a route keep; false
// where too little is known. Declared run times do not enter.
func (r *routes) runTimeP90(n int32) (time.Duration, bool) {
	times := &r.rows[n].runTimes
	return times.Quantile(0.9), times.Samples() >= minSamples
}
