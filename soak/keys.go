package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovagestand.example/lovagestand/standin/site"
)

const (
	// callerHost and callerPrefix are the host and the path prefix of the only route.
	callerHost, callerPrefix = "a.example", "/x/"
	// urgentPath is the path of the urgent route below callerPrefix, in a cell with classes.
	urgentPath = "urgent/"

	// applyTime is how long after the acknowledgement of a version all nodes must have
	// put it in force that have been in contact with the store for contactTime.
	applyTime   = 4 * time.Second
	contactTime = 5 * time.Second
	// probeDeadline is the deadline of a call with a key that is checked, and
	// probeInterval the time between two of them.
	probeDeadline = time.Second
	probeInterval = 60 * time.Millisecond
)

// The keys of a cell with teams. The permanent ones are in every version. ChangeKeys
// withdraws one key and issues another.
const (
	withdrawnKey = "key-withdrawn"
	issuedKey    = "key-issued"
	neverKey     = "key-never"
)

var permanentKeys = []string{"key-a", "key-b"}

// configure stores a version of the configuration: the first one, or a later one that
// differs in one key.
func (c *Cell) configure(version int) error {
	routes := []site.Route{{Name: "quote", Prefix: callerPrefix}}
	if c.shape.Classes {
		routes[0].Priority = 1
		routes = append(routes, site.Route{Name: "urgent", Prefix: callerPrefix + urgentPath})
	}
	return c.Site.ConfigureRoutes(version, callerHost, routes, c.teams(version)...)
}

// teams returns the teams in a version of the configuration. In a cell with classes, one
// of them is capped at half of the workers.
func (c *Cell) teams(version int) []site.Team {
	if !c.shape.Teams {
		return nil
	}
	key := withdrawnKey
	if version > 1 {
		key = issuedKey
	}
	teams := []site.Team{{Name: "a", Keys: []string{permanentKeys[0], key}, Weight: 1}, {Name: "b", Keys: permanentKeys[1:], Weight: 1}}
	if c.shape.Classes {
		teams[1].Cap = site.Cap{MilliCPU: site.Capacity.MilliCPU * int64(c.shape.Workers) / 2}
	}
	return teams
}

// ChangeKeys withdraws a key and issues another one. It does nothing in a cell without
// teams.
func (c *Cell) ChangeKeys() error {
	if !c.shape.Teams {
		return nil
	}
	if err := c.configure(2); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changedAt = time.Now()
	return nil
}

// keyOf returns the key of job n, which is empty in a cell without teams.
func (c *Cell) keyOf(n int) string {
	if !c.shape.Teams {
		return ""
	}
	return permanentKeys[n%len(permanentKeys)]
}

// permanent reports whether a key is in every version.
func (c *Cell) permanent(key string) bool {
	return !c.shape.Teams || key == permanentKeys[0] || key == permanentKeys[1]
}

// changed reports whether a node must have the changed keys in force for a call that is
// sent at a time. For a node that was not in contact with the store it does not.
func (c *Cell) changed(at time.Time, node string) bool {
	c.mu.Lock()
	changedAt := c.changedAt
	c.mu.Unlock()
	return !changedAt.IsZero() && at.Sub(changedAt) > applyTime && !c.disturbed(at, contactTime, node, storeTarget)
}

// beforeChange reports whether the keys have not been changed.
func (c *Cell) beforeChange() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changedAt.IsZero()
}

// queryByOtherTeam asks for the state of a job with the key of the other team, which must
// not learn that there is such a job.
func (c *Callers) queryByOtherTeam(p plan) {
	if !c.cell.shape.Teams {
		return
	}
	key := permanentKeys[0]
	if p.record.key == key {
		key = permanentKeys[1]
	}
	if status, text := c.call(http.MethodGet, p.firstNode, p.record.route+p.id, "", key, queryDeadline); status == http.StatusOK {
		c.recordViolation(false, "TEAM: job %s shown to another team: %s", p.id, text)
	}
}

// ProbeKeys submits jobs with keys that were never issued, that are withdrawn and that are
// issued during the run, until ctx is done. It does nothing in a cell without teams.
func (c *Callers) ProbeKeys(ctx context.Context) {
	for n := 0; c.cell.shape.Teams && ctx.Err() == nil; n++ {
		c.probeKey(n, []string{neverKey, withdrawnKey, issuedKey}[n%3], n/3)
		time.Sleep(probeInterval)
	}
}

// probeKey submits probe n with a key to a node and checks the reply.
func (c *Callers) probeKey(n int, key string, node int) {
	name := c.cell.Nodes[node%len(c.cell.Nodes)].Name
	record := &jobRecord{key: key, forbidden: key == neverKey}
	id := fmt.Sprintf("f%015x", n)
	c.probes[id] = record
	sentAt := time.Now()
	changed := c.cell.changed(sentAt, name)
	spec := site.Spec{MilliCPU: 100, Work: 10 * time.Millisecond}
	status, _ := c.call(http.MethodPost, node, id, fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":100}]}`, spec), key, probeDeadline)
	switch {
	case key == neverKey && status == http.StatusOK:
		c.recordViolation(false, "ROUTE: %s accepts a key that was never issued at %.3f", name, c.seconds(sentAt))
	case key == withdrawnKey && status == http.StatusOK && changed:
		c.recordViolation(false, "CONFIG: %s accepts a withdrawn key at %.3f", name, c.seconds(sentAt))
	case key == withdrawnKey && status == http.StatusUnauthorized && c.cell.beforeChange():
		c.recordViolation(false, "CONFIG: %s refuses a key in force at %.3f", name, c.seconds(sentAt))
	case key == issuedKey && status == http.StatusUnauthorized && changed:
		c.recordViolation(false, "CONFIG: %s refuses an issued key at %.3f", name, c.seconds(sentAt))
	}
}

// CheckKeys checks the keys once more at every node, when the cell has been undisturbed
// for so long that each node must have the changed keys in force. It returns the number of
// nodes at which that was not so.
func (c *Callers) CheckKeys() int {
	unchecked := 0
	if !c.cell.shape.Teams {
		return unchecked
	}
	for i, n := range c.cell.Nodes {
		if !c.cell.changed(time.Now(), n.Name) {
			unchecked++
		}
		for k, key := range []string{neverKey, withdrawnKey, issuedKey} {
			c.probeKey(1<<20+3*i+k, key, i)
		}
	}
	return unchecked
}
