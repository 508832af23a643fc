package table

import (
	"fmt"
	"math"

	"lovagestand.example/lovagestand"
)

// checkPools checks the pools table and returns the names of its pools.
func (c *checker) checkPools(pools []Pool) []string {
	var names []string
	seen := map[string]bool{}
	assigned := map[poolKey]lovagestand.PoolName{}
	for i, p := range pools {
		key := fmt.Sprintf("pools[%d]", i)
		c.checkName(key+".name", string(p.Name))
		c.checkUnique(key+".name", string(p.Name), seen)
		c.checkName(key+".runner", p.Runner)
		c.checkPool(key, p)
		c.checkRegions(key, p, assigned)
		c.checkTeams(key, p)
		names = append(names, string(p.Name))
	}
	return names
}

func (c *checker) checkPool(key string, p Pool) {
	c.checkCount(key+".queueLimit", p.QueueLimit, math.MaxInt32)
	if !(p.Headroom >= 0 && p.Headroom < 1) {
		c.addError(key+".headroom", "it is a fraction such as 0.1", "%v is not at least 0 and below 1", p.Headroom)
	}
	if p.DefaultQuota != nil {
		c.checkAmount(key+".defaultQuota", *p.DefaultQuota)
	}
	if p.DefaultQuota != nil && len(p.Teams) == 0 {
		c.addError(key+".defaultQuota", "list the teams that the pool serves", "means nothing without teams")
	}
	workers := map[string]bool{}
	for i, w := range p.Leaving {
		itemKey := fmt.Sprintf("%s.leaving[%d]", key, i)
		c.checkName(itemKey, string(w))
		c.checkUnique(itemKey, string(w), workers)
	}
	c.checkDescription(key+".description", p.Description)
}

// checkRegions checks the regions of a pool. No two pools may have the same runner
// and region, so that a worker belongs to one pool only.
func (c *checker) checkRegions(key string, p Pool, assigned map[poolKey]lovagestand.PoolName) {
	if len(p.Regions) == 0 {
		c.addError(key+".regions", "list at least one region", "is missing")
	}
	for i, region := range p.Regions {
		itemKey := fmt.Sprintf("%s.regions[%d]", key, i)
		c.checkName(itemKey, string(region))
		group := poolKey{p.Runner, region}
		if other, taken := assigned[group]; taken {
			c.addError(itemKey, "a worker belongs to one pool", "runner %q in region %q is in pool %q already", p.Runner, region, other)
		}
		assigned[group] = p.Name
	}
}

func (c *checker) checkTeams(key string, p Pool) {
	seen := map[string]bool{}
	for i, t := range p.Teams {
		itemKey := fmt.Sprintf("%s.teams[%d]", key, i)
		c.checkName(itemKey+".name", string(t.Name))
		c.checkUnique(itemKey+".name", string(t.Name), seen)
		c.checkNumber(itemKey+".weight", t.Weight)
		if t.Quota != nil {
			c.checkAmount(itemKey+".quota", *t.Quota)
		}
	}
}
