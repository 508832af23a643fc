package table

import (
	"fmt"
	"math"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

func (c *checker) routes(routes []Route, pools []string) {
	known := map[string]bool{}
	for _, p := range pools {
		known[p] = true
	}
	seen := map[string]bool{}
	for i, r := range routes {
		key := fmt.Sprintf("routes[%d]", i)
		c.name(key+".name", string(r.Name))
		c.unique(key+".name", string(r.Name), seen)
		if !known[string(r.Pool)] {
			c.fault(key+".pool", document.Suggest(string(r.Pool), pools), "route %q names no row of the pools table: %q", r.Name, r.Pool)
		}
		c.route(key, r)
		c.limits(key+".limits", r.Limits)
	}
}

func (c *checker) route(key string, r Route) {
	if !r.Class.Valid() {
		c.fault(key+".class", document.Suggest(string(r.Class), classNames()), "%q is not a class", r.Class)
	}
	c.amount(key+".resources", r.Resources)
	if r.Resources.Value().IsZero() {
		c.fault(key+".resources", "give processors and memory", "a task must take something")
	}
	c.count(key+".tasks", r.Tasks, MaxGangTasks)
	if r.Tasks > 1 && r.Class != lovagestand.ClassGang {
		c.fault(key+".tasks", "set class: gang or remove tasks", "class %q starts one task", r.Class)
	}
	if r.StartWithin == 0 {
		c.fault(key+".startWithin", `give a time limit such as "2s"`, "is missing")
	}
	c.length(key+".startWithin", r.StartWithin)
	c.length(key+".runTime", r.RunTime)
	c.number(key+".weights.waiting", r.Weights.Waiting)
	c.number(key+".weights.paidBytes", r.Weights.PaidBytes)
	c.description(key+".description", r.Description)
}

func (c *checker) limits(key string, l Limits) {
	c.number(key+".ratePerSecond", l.RatePerSecond)
	c.number(key+".teamRatePerSecond", l.TeamRatePerSecond)
	c.count(key+".burst", l.Burst, math.MaxInt32)
	c.count(key+".concurrent", l.Concurrent, math.MaxInt32)
	c.count(key+".teamConcurrent", l.TeamConcurrent, math.MaxInt32)
	if l.Burst > 0 && l.RatePerSecond == 0 {
		c.fault(key+".burst", "give ratePerSecond too", "means nothing without a rate")
	}
}
