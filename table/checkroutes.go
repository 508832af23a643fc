package table

import (
	"fmt"
	"math"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// checkRoutes checks the routes table; pools are the names of all pools.
func (c *checker) checkRoutes(routes []Route, pools []string) {
	known := map[string]bool{}
	for _, p := range pools {
		known[p] = true
	}
	seen := map[string]bool{}
	for i, r := range routes {
		key := fmt.Sprintf("routes[%d]", i)
		c.checkName(key+".name", string(r.Name))
		c.checkUnique(key+".name", string(r.Name), seen)
		if !known[string(r.Pool)] {
			c.addError(key+".pool", document.Suggest(string(r.Pool), pools), "route %q names no row of the pools table: %q", r.Name, r.Pool)
		}
		c.checkRoute(key, r)
		c.checkLimits(key+".limits", r.Limits)
	}
}

func (c *checker) checkRoute(key string, r Route) {
	if !r.Class.Valid() {
		c.addError(key+".class", document.Suggest(string(r.Class), classNames()), "%q is not a class", r.Class)
	}
	c.checkAmount(key+".resources", r.Resources)
	if r.Resources.Value().IsZero() {
		c.addError(key+".resources", "give processors and memory", "a task must take something")
	}
	c.checkCount(key+".tasks", r.Tasks, MaxGangTasks)
	if r.Tasks > 1 && r.Class != lovagestand.ClassGang {
		c.addError(key+".tasks", "set class: gang or remove tasks", "class %q starts one task", r.Class)
	}
	if r.StartWithin == 0 {
		c.addError(key+".startWithin", `give a time limit such as "2s"`, "is missing")
	}
	c.checkDuration(key+".startWithin", r.StartWithin)
	c.checkDuration(key+".runTime", r.RunTime)
	c.checkNumber(key+".weights.waiting", r.Weights.Waiting)
	c.checkNumber(key+".weights.paidBytes", r.Weights.PaidBytes)
	c.checkDescription(key+".description", r.Description)
}

func (c *checker) checkLimits(key string, l Limits) {
	c.checkNumber(key+".ratePerSecond", l.RatePerSecond)
	c.checkNumber(key+".teamRatePerSecond", l.TeamRatePerSecond)
	c.checkCount(key+".burst", l.Burst, math.MaxInt32)
	c.checkCount(key+".concurrent", l.Concurrent, math.MaxInt32)
	c.checkCount(key+".teamConcurrent", l.TeamConcurrent, math.MaxInt32)
	if l.Burst > 0 && l.RatePerSecond == 0 {
		c.addError(key+".burst", "give ratePerSecond too", "means nothing without a rate")
	}
}
