package quota_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

const team = lovagestand.TeamName("t")

func cores(n int) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: int64(n), MemoryMiB: int64(n)}
}

// owner is one owner of a shard. It may be a former owner that was paused.
type owner struct {
	shard          int
	holder         *quota.Holder
	limits         quota.TeamResources
	tablesRevision table.Revision
	// ledger and ledgerRevision are the ledger that the current round has read.
	// The ledger is nil between rounds. nextLedger is the update drafted in the
	// round, or nil.
	ledger         *quota.Ledger
	ledgerRevision lovagestand.Revision
	nextLedger     *quota.Ledger
}

// simulation consists of the shards of a pool, their owners, and the one ledger
// in the store.
type simulation struct {
	test           *rapid.T
	shards         []lovagestand.ShardName
	owners         []*owner
	formerOwners   []*owner
	epochs         []lovagestand.Epoch
	running        []int
	waiting        []int
	quotas         []int // by revision from 1; 0 for no quota
	ledgerData     []byte
	ledgerRevision lovagestand.Revision
	lateWrites     []lateWrite
	limitedStarts  int
}

// lateWrite is a write whose reply was lost and that may still take effect.
type lateWrite struct {
	previous lovagestand.Revision
	data     []byte
}

func newSimulation(t *rapid.T) *simulation {
	c := &simulation{test: t, quotas: []int{rapid.IntRange(1, 8).Draw(t, "firstQuota")}}
	for i := range rapid.IntRange(2, 3).Draw(t, "shards") {
		c.shards = append(c.shards, lovagestand.ShardName(fmt.Sprint("s", i)))
		c.running, c.waiting = append(c.running, 0), append(c.waiting, 0)
		c.epochs = append(c.epochs, 1)
		c.owners = append(c.owners, &owner{shard: i, holder: quota.NewHolder(c.shards[i], 1)})
		c.deliverTables(i)
	}
	return c
}

// quotasAt returns the quotas at a revision of the tables.
func (c *simulation) quotasAt(revision table.Revision) quota.TeamQuotas {
	if c.quotas[revision-1] == 0 {
		return quota.TeamQuotas{}
	}
	since := revision
	for since > 1 && c.quotas[since-2] > 0 {
		since--
	}
	return quota.TeamQuotas{team: {Quota: cores(c.quotas[revision-1]), Since: since}}
}

// deliverTables puts the newest tables in force at the owner of a shard.
func (c *simulation) deliverTables(shard int) {
	o := c.owners[shard]
	o.tablesRevision = table.Revision(len(c.quotas))
	o.holder.SetTables(o.tablesRevision, c.quotasAt(o.tablesRevision))
	o.limits = o.holder.Limits()
}

func (c *simulation) usage(shard int) map[lovagestand.TeamName]quota.Usage {
	u := quota.Usage{Running: cores(c.running[shard]), Waiting: cores(c.waiting[shard])}
	if c.waiting[shard] > 0 {
		u.Next = cores(1)
	}
	return map[lovagestand.TeamName]quota.Usage{team: u}
}

// advance runs the next step of an owner's round: read, update or send.
func (c *simulation) advance(owner *owner) {
	shard := owner.shard
	switch {
	case owner.ledger == nil:
		owner.ledger, _ = quota.DecodeLedger(c.ledgerData)
		owner.ledgerRevision = c.ledgerRevision
		owner.holder.Read(owner.ledger, owner.ledgerRevision, c.shards)
		owner.holder.LowerLimits(owner.ledger, c.usage(shard))
		owner.limits = owner.holder.Limits()
	case owner.nextLedger == nil:
		data, _ := owner.ledger.Encode()
		owner.nextLedger, _ = quota.DecodeLedger(data)
		if !owner.holder.Write(owner.nextLedger, c.usage(shard), c.shards) {
			owner.ledger, owner.nextLedger = nil, nil
		}
	default:
		c.sendWrite(owner)
		owner.ledger, owner.nextLedger = nil, nil
		owner.limits = owner.holder.Limits()
	}
}

// sendWrite sends a write that succeeds, conflicts, or loses its reply.
func (c *simulation) sendWrite(owner *owner) {
	data, err := owner.nextLedger.Encode()
	if err != nil {
		c.test.Fatal(err)
	}
	if !owner.holder.WriteSent(owner.ledgerRevision) {
		return
	}
	switch outcome := rapid.IntRange(0, 9).Draw(c.test, "outcome"); {
	case outcome < 3:
		c.lateWrites = append(c.lateWrites, lateWrite{owner.ledgerRevision, data})
	case c.ledgerRevision != owner.ledgerRevision:
		owner.holder.WriteRejected()
	default:
		c.apply(lateWrite{owner.ledgerRevision, data})
		if outcome > 4 {
			owner.holder.WriteSucceeded(owner.nextLedger, c.ledgerRevision, c.shards)
		}
	}
}

// apply applies a write if the ledger is still at the revision that it expects.
func (c *simulation) apply(write lateWrite) {
	if write.previous == c.ledgerRevision {
		c.ledgerData = write.data
		c.ledgerRevision++
	}
}

// startTask starts a waiting task if the limits in force at the owner allow it,
// and checks that the running tasks stay within the quota.
func (c *simulation) startTask(shard int) {
	o := c.owners[shard]
	limit, limited := o.limits[team]
	if c.waiting[shard] == 0 || limited && !cores(c.running[shard]+1).Fits(limit) {
		return
	}
	c.waiting[shard]--
	c.running[shard]++
	total := 0
	for _, n := range c.running {
		total += n
	}
	largest, limited := c.largestQuota(o.tablesRevision)
	if !limited {
		return
	}
	c.limitedStarts++
	if total > largest {
		c.test.Fatalf("%d tasks are running, but the quota is %d", total, largest)
	}
}

// largestQuota returns the largest quota of all revisions from the given one to
// the newest in force at any owner; false if one of them has no quota.
func (c *simulation) largestQuota(from table.Revision) (int, bool) {
	newest, largest := from, 0
	for _, o := range c.owners {
		newest = max(newest, o.tablesRevision)
	}
	for _, q := range c.quotas[from-1 : newest] {
		if q == 0 {
			return 0, false
		}
		largest = max(largest, q)
	}
	return largest, true
}

// takeOver gives a shard to a new owner. The former owner may continue its
// round but starts no more tasks.
func (c *simulation) takeOver(shard int, withHandover bool) {
	old := c.owners[shard]
	c.epochs[shard]++
	next := &owner{shard: shard, holder: quota.NewHolder(c.shards[shard], c.epochs[shard])}
	if withHandover {
		if handover, err := old.holder.HandOver(); err == nil {
			next.holder = next.holder.WithHandover(handover)
		}
	}
	c.formerOwners = append(c.formerOwners, old)
	c.owners[shard] = next
	c.deliverTables(shard)
}

// actions returns the functions that act on shard i of the simulation.
func (c *simulation) actions() []func(i int) {
	round := func(i int) {
		for range 3 {
			c.advance(c.owners[i])
		}
	}
	singleStep := func(i int) { c.advance(c.owners[i]) }
	startTasks := func(i int) {
		for range 4 {
			c.startTask(i)
		}
	}
	return []func(int){
		round, singleStep, startTasks, c.syncOwners,
		func(i int) { c.waiting[i] += 3 },
		func(i int) { c.waiting[i] = 0 },
		func(i int) { c.running[i] = max(0, c.running[i]-3) },
		func(int) { c.applyLateWrite() },
		func(i int) { c.takeOver(i, false) },
		func(i int) { c.takeOver(i, true) },
		c.deliverTables,
		func(int) {
			if n := len(c.formerOwners); n > 0 {
				c.advance(c.formerOwners[n-1])
			}
		},
		func(int) {
			drawn := rapid.SampledFrom([]int{0, 1, 2, 4, 8, 8, 12}).Draw(c.test, "quota")
			c.quotas = append(c.quotas, drawn)
		},
	}
}

// commonActions is the number of leading actions that every run uses. Each run
// uses a random subset of the others, so that rare orders occur often.
const commonActions = 7

// run executes random actions out of those selected for the run.
func (c *simulation) run(steps int) {
	all := c.actions()
	chosen := all[:commonActions]
	for _, action := range all[commonActions:] {
		if rapid.Bool().Draw(c.test, "include") {
			chosen = append(chosen[:len(chosen):len(chosen)], action)
		}
	}
	for range steps {
		action := rapid.IntRange(0, len(chosen)-1).Draw(c.test, "action")
		chosen[action](rapid.IntRange(0, len(c.shards)-1).Draw(c.test, "shard"))
	}
}

// applyLateWrite applies a late write if the ledger has not changed since.
func (c *simulation) applyLateWrite() {
	if n := len(c.lateWrites); n > 0 {
		c.apply(c.lateWrites[n-1])
		c.lateWrites = c.lateWrites[:n-1]
	}
}

// syncOwners puts the newest tables in force at every owner, runs a round of
// each, and starts tasks.
func (c *simulation) syncOwners(int) {
	for i, o := range c.owners {
		c.deliverTables(i)
		for range 3 {
			c.advance(o)
		}
		c.waiting[i] += 2
		c.startTask(i)
		c.startTask(i)
	}
}

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}

// TestQuotaIsNeverExceeded explores rounds in arbitrary order, with lost and
// late writes, takeovers, handovers, paused owners and changes of the tables.
func TestQuotaIsNeverExceeded(t *testing.T) {
	limitedStarts := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulation(t)
		c.run(rapid.IntRange(50, 300).Draw(t, "steps"))
		limitedStarts += c.limitedStarts
	})
	if limitedStarts < 300 {
		t.Fatalf("only %d tasks were started under a quota", limitedStarts)
	}
}
