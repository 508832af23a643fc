package region

import (
	"fmt"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Candidate is a shard that a task may be sent to, as described by its digest.
type Candidate struct {
	Shard  lovagestand.ShardName
	Region lovagestand.RegionName
	Owner  lovagestand.Instance
	Digest lovagestand.Digest
	// Age is the age of the digest.
	Age time.Duration
}

// Pool returns the digest of one pool, and false if the shard has no worker of
// that pool.
func (c *Candidate) Pool(name lovagestand.PoolName) (lovagestand.PoolDigest, bool) {
	for i := range c.Digest.Pools {
		p := &c.Digest.Pools[i]
		if p.Pool == name && p.Workers > 0 {
			return *p, true
		}
	}
	return lovagestand.PoolDigest{}, false
}

// Chooser chooses one of the candidates for a task.
type Chooser interface {
	// Choose returns a candidate and the reason for the choice as text. It
	// fails with a [NoShardError] if no candidate has workers of the task's
	// pool, and with a [lovagestand.InfeasibleError] if none of them can ever
	// run the task.
	Choose(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error)
}

// NoShardError is returned if none of the candidates has workers of a pool.
type NoShardError struct {
	Pool lovagestand.PoolName
}

// Error implements error.
func (e *NoShardError) Error() string {
	return fmt.Sprintf("no shard has workers of pool %q", e.Pool)
}

// eligible returns the candidates whose largest capacity holds the task,
// whether or not that capacity is free at the moment.
func eligible(t lovagestand.Task, candidates []Candidate) ([]*Candidate, error) {
	fit := make([]*Candidate, 0, len(candidates))
	var largest lovagestand.Resources
	served := false
	for i := range candidates {
		c := &candidates[i]
		p, ok := c.Pool(t.Pool)
		if !ok {
			continue
		}
		served = true
		if t.Resources.Fits(p.LargestCapacity) {
			fit = append(fit, c)
			continue
		}
		if largest.DominantShare(p.LargestCapacity) < 1 {
			largest = p.LargestCapacity
		}
	}
	switch {
	case !served:
		return nil, &NoShardError{Pool: t.Pool}
	case len(fit) == 0:
		reason := "the largest worker has " + largest.String()
		return nil, &lovagestand.InfeasibleError{Pool: t.Pool, Requested: t.Resources, Largest: largest, Reason: reason}
	default:
		return fit, nil
	}
}
