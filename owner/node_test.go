package owner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

func ExampleDocument_With() {
	e := owner.Entry{Shard: "malabar/rack1"}.Next("a", []lovagestand.InstanceID{"b", "c"}, true)
	d := owner.Document{Region: "malabar"}.With(e)
	data, _ := d.Encode()
	fmt.Println(string(data))
	// Output: {"region":"malabar","entries":[{"shard":"malabar/rack1","epoch":1,"owner":"a","standbys":["b","c"],"settled":true}]}
}

// group is the owner a and the standbys b and c of one shard, at a time when all of
// them have just read the member list.
type group struct {
	now   time.Time
	entry owner.Entry
	nodes map[lovagestand.InstanceID]*owner.Node
}

func newGroup() *group {
	g := &group{now: time.Unix(0, 0), nodes: map[lovagestand.InstanceID]*owner.Node{}}
	g.entry = owner.Entry{Shard: "malabar/rack1", Region: "malabar"}.Next("a", []lovagestand.InstanceID{"b", "c"}, true)
	for _, id := range []lovagestand.InstanceID{"a", "b", "c"} {
		g.nodes[id] = owner.NewNode(g.now, lovagestand.Instance{ID: id, Region: "malabar"}, owner.DefaultTiming())
	}
	g.list("a", "b", "c")
	for _, n := range g.nodes {
		n.Watched(g.now, owner.Document{Region: "malabar"}.With(g.entry), 1)
	}
	return g
}

// list makes all nodes read a member list with the given instances.
func (g *group) list(ids ...lovagestand.InstanceID) {
	var members []lovagestand.Instance
	for _, id := range ids {
		members = append(members, lovagestand.Instance{ID: id, Region: "malabar"})
	}
	for _, n := range g.nodes {
		n.MemberListRead(g.now, g.now, members)
	}
}

// leaseRequests returns how many leases the owner requests in one tick.
func (g *group) leaseRequests() int {
	var requests int
	for _, e := range g.nodes["a"].Tick(g.now) {
		if send, ok := e.(owner.Send); ok && send.Message.Kind == owner.KindLeaseRequest {
			requests++
		}
	}
	return requests
}

// grantsLease reports whether standby b grants a lease for an entry.
func (g *group) grantsLease(entry owner.Entry) bool {
	effects := g.nodes["b"].Receive(g.now, entry.Owner, owner.Message{Kind: owner.KindLeaseRequest, Entry: entry})
	return len(effects) == 1 && effects[0].(owner.Send).Message.Kind == owner.KindLeaseGrant
}

// TestOneLeaseGrantSuffices has one of two standbys grant a lease. The owner's lease
// ends Timing.Guard before the grant of 2 s does.
func TestOneLeaseGrantSuffices(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	c.Assert(g.leaseRequests(), qt.Equals, 2)
	c.Assert(g.nodes["a"].Owned(g.now), qt.HasLen, 0)
	g.nodes["a"].Receive(g.now, "c", owner.Message{Kind: owner.KindLeaseGrant, Entry: g.entry})
	lease, ok := g.nodes["a"].Lease(g.now, g.entry.Shard)
	c.Assert(ok, qt.IsTrue)
	c.Assert(lease.Until.Sub(g.now), qt.Equals, 1900*time.Millisecond)
}

// TestLongPauseSealsAllEpochs guards against an instance that continues in its epochs
// after a long pause, in which the other instances may have presumed it dead.
func TestLongPauseSealsAllEpochs(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	c.Assert(g.grantsLease(g.entry), qt.IsTrue)
	g.now = g.now.Add(owner.DefaultTiming().MaxListAge)
	c.Assert(g.leaseRequests(), qt.Equals, 0)
	c.Assert(g.grantsLease(g.entry), qt.IsFalse)
	g.list("a", "b", "c")
	c.Assert(g.leaseRequests(), qt.Equals, 0)
	c.Assert(g.grantsLease(g.entry), qt.IsFalse)
	c.Assert(g.grantsLease(g.entry.Next("a", g.entry.Standbys, true)), qt.IsTrue)
}

// TestDroppedInstanceGrantsLeasesOnlyInNewEpochs guards against an instance that, once
// listed again, grants leases in an epoch that others may have ended without it.
func TestDroppedInstanceGrantsLeasesOnlyInNewEpochs(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.list("a", "c")
	c.Assert(g.grantsLease(g.entry), qt.IsFalse)
	g.list("a", "b", "c")
	c.Assert(g.grantsLease(g.entry), qt.IsFalse)
	c.Assert(g.grantsLease(g.entry.Next("a", g.entry.Standbys, true)), qt.IsTrue)
}

// TestSealedInstanceRefusesDirectHandover guards against a handover without the store
// that begins an epoch while a takeover that the successor has consented to begins it
// as well.
func TestSealedInstanceRefusesDirectHandover(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.now = g.now.Add(2 * time.Second)
	g.nodes["b"].Receive(g.now, "c", owner.Message{Kind: owner.KindSeal, Entry: g.entry, Attempt: "c/1"})
	next := g.entry.Next("b", []lovagestand.InstanceID{"c", "a"}, true)
	pass := owner.Message{Kind: owner.KindPass, Entry: next, WithoutStore: true}
	g.nodes["b"].Receive(g.now, "a", pass)
	assertEpoch(c, g.nodes["b"], g.entry, 1)
	g.nodes["b"].Receive(g.now, "c", owner.Message{Kind: owner.KindUnseal, Entry: g.entry, Attempt: "c/1"})
	g.nodes["b"].Receive(g.now, "a", pass)
	assertEpoch(c, g.nodes["b"], g.entry, 2)
}

func assertEpoch(c *qt.C, n *owner.Node, entry owner.Entry, epoch lovagestand.Epoch) {
	c.Helper()
	e, _ := n.Entry(entry.Shard)
	c.Assert(e.Epoch, qt.Equals, epoch)
}
