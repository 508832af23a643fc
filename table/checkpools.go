package table

import (
	"fmt"
	"math"

	"lovagestand.example/lovagestand"
)

// pools checks the pools table and returns the names of its rows.
func (c *checker) pools(pools []Pool) []string {
	var names []string
	seen := map[string]bool{}
	homes := map[home]lovagestand.PoolName{}
	for i, p := range pools {
		key := fmt.Sprintf("pools[%d]", i)
		c.name(key+".name", string(p.Name))
		c.unique(key+".name", string(p.Name), seen)
		c.name(key+".runner", p.Runner)
		c.pool(key, p)
		c.homes(key, p, homes)
		c.teams(key, p)
		names = append(names, string(p.Name))
	}
	return names
}

func (c *checker) pool(key string, p Pool) {
	c.count(key+".queueLimit", p.QueueLimit, math.MaxInt32)
	if !(p.Headroom >= 0 && p.Headroom < 1) {
		c.fault(key+".headroom", "it is a fraction such as 0.1", "%v is not at least 0 and below 1", p.Headroom)
	}
	if p.DefaultQuota != nil {
		c.amount(key+".defaultQuota", *p.DefaultQuota)
	}
	if p.DefaultQuota != nil && len(p.Teams) == 0 {
		c.fault(key+".defaultQuota", "list the teams that the pool serves", "means nothing without teams")
	}
	workers := map[string]bool{}
	for i, w := range p.Leaving {
		inner := fmt.Sprintf("%s.leaving[%d]", key, i)
		c.name(inner, string(w))
		c.unique(inner, string(w), workers)
	}
	c.description(key+".description", p.Description)
}

// homes checks that a worker can belong to one pool only.
func (c *checker) homes(key string, p Pool, homes map[home]lovagestand.PoolName) {
	if len(p.Regions) == 0 {
		c.fault(key+".regions", "list at least one region", "is missing")
	}
	for i, region := range p.Regions {
		inner := fmt.Sprintf("%s.regions[%d]", key, i)
		c.name(inner, string(region))
		at := home{p.Runner, region}
		if other, taken := homes[at]; taken {
			c.fault(inner, "a worker belongs to one pool", "runner %q in region %q is in pool %q already", p.Runner, region, other)
		}
		homes[at] = p.Name
	}
}

func (c *checker) teams(key string, p Pool) {
	seen := map[string]bool{}
	for i, t := range p.Teams {
		inner := fmt.Sprintf("%s.teams[%d]", key, i)
		c.name(inner+".name", string(t.Name))
		c.unique(inner+".name", string(t.Name), seen)
		c.number(inner+".weight", t.Weight)
		if t.Quota != nil {
			c.amount(inner+".quota", *t.Quota)
		}
	}
}
