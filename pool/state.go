package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/team"
	"lovagestand.example/lovagestand/worker"
)

// poolState is the state that a decider holds of one pool.
type poolState struct {
	name     lovagestand.PoolName
	number   uint16
	policy   lovagestand.PoolPolicy
	ledger   *worker.Ledger
	accounts *team.Accounts
	queue    *queue.Queue
	teams    []lovagestand.TeamName
	members  []member
	replicas map[int32]*worker.Replicas
	// urgentUsed, serviceAndGangUsed and batchUsed are the resources of the
	// placed tasks by class.
	urgentUsed, serviceAndGangUsed, batchUsed lovagestand.Resources
	waiting                                   [4]int
	// running counts the placed tasks by rank.
	running [4]int
	// preemptibleCount counts the placed tasks that may be preempted.
	preemptibleCount int
	// firstUrgent and lastUrgent are the ends of the list of waiting urgent
	// tasks without a claim.
	firstUrgent, lastUrgent slot
	claims                  []claim
	headroom                headroom
	meanRunTime             runTimeMean
	// scanCursor is the worker at which the next search for room starts.
	scanCursor  int
	quarantined int
	probing     int
	// otherChanges counts the changes outside of the ledger after which a task
	// that did not fit may fit.
	otherChanges uint64
	// preemptTriedVersion is the version at which all waiting urgent tasks were
	// last tried, so that preemption need not be tried again; 0 if it must be.
	preemptTriedVersion uint64
	// changed is set when a decision may have something to do. The pool is
	// checked at nextCheck even if it is not set.
	changed bool
	// fairSharing serves teams in order of their shares instead of by arrival
	// alone.
	fairSharing bool
	// sharesStale is set when all shares must be computed again.
	sharesStale bool
	nextCheck   int64
	// nextMakeRoom is when room is next made for starved tasks.
	nextMakeRoom int64
	// now is the time of the current decision.
	now int64
	// capacity is the total on which the current shares are based.
	capacity lovagestand.Resources
}

// member is a worker of a pool.
type member struct {
	// firstTask and lastTask are the ends of the list of its tasks, in order of
	// start.
	firstTask, lastTask slot
	// preemptibleSize and preemptibleCount are the resources and the number of
	// its tasks that may be preempted.
	preemptibleSize  lovagestand.Resources
	preemptibleCount int32
	claimed          bool
	state            chart.State
	health           worker.Health
	worker           lovagestand.Worker
}

func newPoolState(name lovagestand.PoolName, number uint16, sharing bool) *poolState {
	return &poolState{
		name: name, number: number, ledger: worker.NewLedger(), accounts: team.NewAccounts(),
		queue: queue.New(), replicas: map[int32]*worker.Replicas{}, firstUrgent: none, lastUrgent: none,
		fairSharing: sharing,
	}
}

func (p *poolState) team(name lovagestand.TeamName) team.ID {
	id := p.accounts.ID(name)
	if int(id) == len(p.teams) {
		p.teams = append(p.teams, name)
	}
	return id
}

func (p *poolState) setPolicy(policy lovagestand.PoolPolicy) {
	p.policy = policy
	for _, t := range policy.Teams {
		p.team(t.Team)
	}
	p.accounts.SetPolicies(policy.Teams)
	p.otherChanges++
	p.sharesStale = true
	p.nextCheck = 0
	p.changed = true
}

// version identifies the state in which a shape was tried. It differs after
// every change that may make the shape fit.
func (p *poolState) version() uint64 {
	return p.ledger.CapacityVersion() + p.otherChanges + 1
}

// refreshShares computes all shares again after a change of capacity or
// policies.
func (p *poolState) refreshShares() {
	total := p.ledger.Totals().Capacity
	if !p.sharesStale && total == p.capacity {
		return
	}
	p.sharesStale = false
	p.capacity = total
	p.accounts.SetTotal(total)
	for id := range p.accounts.Len() {
		p.updateQueueShare(team.ID(id))
		p.queue.Unpark(team.ID(id))
	}
}

// updateQueueShare passes a team's current share to the queue.
func (p *poolState) updateQueueShare(id team.ID) {
	if p.fairSharing {
		p.queue.SetShare(id, p.accounts.Share(id))
	}
}

// charge adds size, which may be negative, to what a team and a class use.
func (p *poolState) charge(id team.ID, rank int8, size lovagestand.Resources) {
	p.accounts.AddUsage(id, size)
	switch rank {
	case rankUrgent:
		p.urgentUsed = p.urgentUsed.Add(size)
	case rankBatch:
		p.batchUsed = p.batchUsed.Add(size)
	default:
		p.serviceAndGangUsed = p.serviceAndGangUsed.Add(size)
	}
	p.updateQueueShare(id)
	if !size.Valid() {
		p.queue.Unpark(id)
	}
}

// attach appends a placed task to its worker's list and counts it.
func (p *poolState) attach(d *Decider, s slot) {
	r := d.tasks.at(s)
	m := &p.members[r.row]
	r.prev, r.next = m.lastTask, none
	if m.lastTask != none {
		d.tasks.at(m.lastTask).next = s
	} else {
		m.firstTask = s
	}
	m.lastTask = s
	p.running[r.rank]++
	if m.preemptible(r) {
		m.preemptibleSize = m.preemptibleSize.Add(r.size)
		m.preemptibleCount++
		p.preemptibleCount++
	}
	if r.rank == rankService {
		p.ledger.AddReplicas(p.replicasOf(r.route), r.row, 1)
	}
}

// detach undoes attach, except for the counts of preemptible tasks, which
// [Decider.uncountPreemptible] reduces.
func (p *poolState) detach(d *Decider, s slot) {
	r := d.tasks.at(s)
	m := &p.members[r.row]
	if r.prev != none {
		d.tasks.at(r.prev).next = r.next
	} else {
		m.firstTask = r.next
	}
	if r.next != none {
		d.tasks.at(r.next).prev = r.prev
	} else {
		m.lastTask = r.prev
	}
	p.running[r.rank]--
	if r.rank == rankService {
		p.ledger.AddReplicas(p.replicasOf(r.route), r.row, -1)
	}
}

// uncountPreemptible removes a task from the counts of preemptible tasks. It
// must be called before an event changes the state of the task.
func (d *Decider) uncountPreemptible(s slot) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	m := &p.members[r.row]
	if m.preemptible(r) {
		m.preemptibleSize = m.preemptibleSize.Sub(r.size)
		m.preemptibleCount--
		p.preemptibleCount--
	}
}

// preemptible reports whether a placed task may be preempted.
func (*member) preemptible(r *record) bool {
	return r.rank == rankBatch && r.flags.has(flagCheckpoints) && taskChart.Allows(r.state, eventPreempt)
}

func (p *poolState) replicasOf(route int32) *worker.Replicas {
	n, ok := p.replicas[route]
	if !ok {
		n = &worker.Replicas{}
		p.replicas[route] = n
	}
	return n
}

// runTimeMean is a moving average of the run times of a pool's tasks.
type runTimeMean struct {
	mean    float64
	samples int
}

// meanRunTimeWeight is the weight of a new run time in the average; the first
// ones have a larger weight.
const meanRunTimeWeight = 1.0 / 32

func (m *runTimeMean) add(ran time.Duration) {
	m.samples++
	weight := max(meanRunTimeWeight, 1/float64(m.samples))
	m.mean += weight * (float64(ran) - m.mean)
}
