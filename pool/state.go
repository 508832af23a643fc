package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/team"
	"lovagestand.example/lovagestand/worker"
)

// state is what a decider holds of one pool.
type state struct {
	name     lovagestand.PoolName
	number   uint16
	policy   lovagestand.PoolPolicy
	ledger   *worker.Ledger
	accounts *team.Accounts
	queue    *queue.Queue
	teams    []lovagestand.TeamName
	members  []member
	replicas map[int32]*worker.Replicas
	// urgent, firm and batch are what is taken by urgent tasks, by services
	// and gangs, and by batch.
	urgent, firm, batch lovagestand.Resources
	waiting             [4]int
	// running counts placed tasks by rank.
	running [4]int
	// stoppable counts the placed tasks that may be displaced.
	stoppable int
	// first and last are the ends of the list of waiting urgent tasks that
	// claim no worker.
	first, last slot
	claims      []claim
	headroom    headroom
	pace        pace
	// cursor is the worker to look at next to make room.
	cursor      int
	quarantined int
	probing     int
	// epoch counts the changes, besides those of the ledger, after which a
	// task that found no place may find one.
	epoch uint64
	// displaceTried is the state in which displacing last found nothing.
	displaceTried uint64
	// changed says that a decision may have something to do; nextCheck is
	// when it has to look all the same.
	changed bool
	// sharing says that teams are served by share, not by arrival alone.
	sharing   bool
	resized   bool
	nextCheck int64
	// nextRoom is when room is next made for tasks that have waited long.
	nextRoom int64
	// now is the time of the decision being made.
	now int64
	// capacity is the total of which shares were last taken.
	capacity lovagestand.Resources
}

// member is a worker of a pool.
type member struct {
	// first and last are the ends of the list of its tasks, by start.
	first, last slot
	// room and stoppable are the sum and count of its tasks that may be
	// displaced.
	room      lovagestand.Resources
	stoppable int32
	claimed   bool
	state     chart.State
	health    worker.Health
	worker    lovagestand.Worker
}

func newState(name lovagestand.PoolName, number uint16, sharing bool) *state {
	return &state{
		name: name, number: number, ledger: worker.NewLedger(), accounts: team.NewAccounts(),
		queue: queue.New(), replicas: map[int32]*worker.Replicas{}, first: none, last: none,
		sharing: sharing,
	}
}

func (p *state) team(name lovagestand.TeamName) team.ID {
	id := p.accounts.ID(name)
	if int(id) == len(p.teams) {
		p.teams = append(p.teams, name)
	}
	return id
}

func (p *state) setPolicy(policy lovagestand.PoolPolicy) {
	p.policy = policy
	for _, t := range policy.Teams {
		p.team(t.Team)
	}
	p.accounts.SetPolicies(policy.Teams)
	p.epoch++
	p.resized = true
	p.nextCheck = 0
	p.changed = true
}

// version identifies the state in which a shape was tried: it differs after
// any change by which the shape may fit.
func (p *state) version() uint64 {
	return p.ledger.CapacityVersion() + p.epoch + 1
}

// refresh takes shares anew after a change of capacity or policies.
func (p *state) refresh() {
	total := p.ledger.Totals().Capacity
	if !p.resized && total == p.capacity {
		return
	}
	p.resized = false
	p.capacity = total
	p.accounts.SetTotal(total)
	for id := range p.accounts.Len() {
		p.rank(team.ID(id))
		p.queue.Unpark(team.ID(id))
	}
}

// rank tells the queue a team's share.
func (p *state) rank(id team.ID) {
	if p.sharing {
		p.queue.SetShare(id, p.accounts.Share(id))
	}
}

// charge counts size for a team and a class; it may be negative.
func (p *state) charge(id team.ID, rank int8, size lovagestand.Resources) {
	p.accounts.AddUsage(id, size)
	switch rank {
	case rankUrgent:
		p.urgent = p.urgent.Add(size)
	case rankBatch:
		p.batch = p.batch.Add(size)
	default:
		p.firm = p.firm.Add(size)
	}
	p.rank(id)
	if !size.Valid() {
		p.queue.Unpark(id)
	}
}

// attach puts a placed task at the end of its worker's list.
func (p *state) attach(d *Decider, s slot) {
	r := d.tasks.at(s)
	m := &p.members[r.row]
	r.prev, r.next = m.last, none
	if m.last != none {
		d.tasks.at(m.last).next = s
	} else {
		m.first = s
	}
	m.last = s
	p.running[r.rank]++
	if m.displaceable(r) {
		m.room = m.room.Add(r.size)
		m.stoppable++
		p.stoppable++
	}
	if r.rank == rankService {
		p.ledger.AddReplicas(p.replicasOf(r.route), r.row, 1)
	}
}

// detach undoes attach.
func (p *state) detach(d *Decider, s slot) {
	r := d.tasks.at(s)
	m := &p.members[r.row]
	if r.prev != none {
		d.tasks.at(r.prev).next = r.next
	} else {
		m.first = r.next
	}
	if r.next != none {
		d.tasks.at(r.next).prev = r.prev
	} else {
		m.last = r.prev
	}
	p.running[r.rank]--
	if r.rank == rankService {
		p.ledger.AddReplicas(p.replicasOf(r.route), r.row, -1)
	}
}

// displaced takes a task out of what may be displaced of its worker.
func (d *Decider) displaced(s slot) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	m := &p.members[r.row]
	if m.displaceable(r) {
		m.room = m.room.Sub(r.size)
		m.stoppable--
		p.stoppable--
	}
}

// displaceable reports whether a placed task may be stopped for another.
func (*member) displaceable(r *record) bool {
	return r.rank == rankBatch && r.flags.has(flagCheckpoints) && taskChart.Allows(r.state, eventPreempt)
}

func (p *state) replicasOf(route int32) *worker.Replicas {
	n, ok := p.replicas[route]
	if !ok {
		n = &worker.Replicas{}
		p.replicas[route] = n
	}
	return n
}

// pace measures how fast a pool's tasks end.
type pace struct {
	mean    float64
	samples int
}

// paceFade is the weight of one run time in the mean.
const paceFade = 1.0 / 32

func (p *pace) add(ran time.Duration) {
	p.samples++
	weight := max(paceFade, 1/float64(p.samples))
	p.mean += weight * (float64(ran) - p.mean)
}
