package owner_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

const (
	simulatedRegion = lovagestand.RegionName("malabar")
	simulatedShards = 2
	// startWindow is how long a start may be in flight.
	startWindow = 500 * time.Millisecond
	// wallSkew is the largest error of a wall clock.
	wallSkew = 200 * time.Millisecond
	// storeTimeout is how long a process waits for the store.
	storeTimeout = time.Second
	// memberTTL is how long a process stays listed after it has registered.
	memberTTL = 3 * time.Second
)

var errNoReply = errors.New("no reply from the store")

// event is a function that runs at a time since the start of the simulation. Events at
// the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// mutation is a change that breaks a rule of the protocol. The exploration has to find
// a violation.
type mutation struct {
	// firstSeed is the first seed to try.
	firstSeed uint64
	timing    func(*owner.Timing)
	// deliver replaces the delivery of a message. If it returns false, the message
	// is delivered as usual.
	deliver func(s *simulation, from, to *process, m owner.Message) bool
}

// simulation is a fleet of one region with its store, its member list and its
// workers, under random faults from a seed.
type simulation struct {
	random   *rand.Rand
	timing   owner.Timing
	mutation mutation
	now      time.Duration
	seq      int
	events   eventQueue
	// faultsEnd is the time from which no new fault begins. Faults in progress
	// then last for their full length.
	faultsEnd time.Duration
	processes []*process
	// processCount is the number of processes started so far.
	processCount int

	document  owner.Document
	revision  lovagestand.Revision
	storeDown bool
	listDown  bool
	cutLinks  map[[2]int]bool

	// shardNames are the keys of shards in a fixed order, so that a run depends
	// only on its seed.
	shardNames []lovagestand.ShardName
	shards     map[lovagestand.ShardName]*shardWorkers
	accepted   int
	violation  string
}

// shardWorkers are the workers of a shard. They record the latest owner whose start
// they accepted.
type shardWorkers struct {
	skew      time.Duration
	lastEpoch lovagestand.Epoch
	lastOwner lovagestand.InstanceID
}

// process is one instance with its own clocks. slot is its place in the fleet, which
// the next process takes after a crash.
type process struct {
	simulation     *simulation
	slot           int
	self           lovagestand.Instance
	node           *owner.Node
	clockRate      float64
	skew           time.Duration
	startedAt      time.Duration
	dead           bool
	pausedUntil    time.Duration
	registeredAt   time.Duration
	startsInFlight map[lovagestand.ShardName]int
	releasing      map[lovagestand.ShardName]bool
}

func newSimulation(seed uint64, m mutation) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewPCG(seed, 1)),
		timing:    owner.DefaultTiming(),
		mutation:  m,
		faultsEnd: 45 * time.Second,
		document:  owner.Document{Region: simulatedRegion},
		cutLinks:  map[[2]int]bool{},
		shards:    map[lovagestand.ShardName]*shardWorkers{},
	}
	s.timing.StartWindow = startWindow
	s.timing.SettleDelay = 2 * wallSkew
	if m.timing != nil {
		m.timing(&s.timing)
	}
	for i := range simulatedShards {
		shard := lovagestand.ShardName(fmt.Sprintf("malabar/rack%d", i))
		s.shardNames = append(s.shardNames, shard)
		s.shards[shard] = &shardWorkers{skew: s.symmetric(wallSkew)}
	}
	for slot := range 3 + s.random.IntN(3) {
		s.start(slot)
	}
	s.after(5*time.Second, s.fault)
	return s
}

// run runs the simulation up to the given time or the first violation, which it
// returns. It returns an empty text if there is none.
func (s *simulation) run(until time.Duration) string {
	for len(s.events) > 0 && s.violation == "" {
		e := heap.Pop(&s.events).(event)
		if e.at > until {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.violation
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

// symmetric returns a random duration between -d and d.
func (s *simulation) symmetric(d time.Duration) time.Duration { return s.upTo(2*d) - d }

// upTo returns a random duration between 0 and d.
func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *simulation) faultsActive() bool { return s.now < s.faultsEnd }

// latency returns the delay of one message. It is usually short, but sometimes long
// while faults are active.
func (s *simulation) latency() time.Duration {
	if s.faultsActive() && s.chance(0.06) {
		return s.upTo(4 * time.Second)
	}
	return time.Millisecond + s.upTo(20*time.Millisecond)
}

// fault injects one fault and schedules the next. Faults may overlap.
func (s *simulation) fault() {
	if !s.faultsActive() {
		return
	}
	s.after(s.upTo(5*time.Second), s.fault)
	p := s.processes[s.random.IntN(len(s.processes))]
	length := s.upTo(6 * time.Second)
	switch s.random.IntN(9) {
	case 0:
		s.crash(p)
	case 1:
		s.pause(p, length)
	case 2:
		s.pause(p, 3*length)
		s.pause(s.processes[s.random.IntN(len(s.processes))], 3*length)
	case 3:
		s.storeDown = true
		s.after(length, func() { s.storeDown = false })
	case 4:
		s.listDown = true
		s.after(length, func() { s.listDown = false })
	case 5:
		s.cutLink(p.slot, s.random.IntN(len(s.processes)), length)
	case 6:
		for slot := range s.processes {
			s.cutLink(p.slot, slot, length)
		}
	case 7:
		s.leave(p)
	case 8:
		s.crash(p)
		s.storeDown = true
		s.after(length, func() { s.storeDown = false })
	}
}

// cutLink cuts the link from a to b and usually the opposite one.
func (s *simulation) cutLink(a, b int, length time.Duration) {
	s.cutLinks[[2]int{a, b}] = true
	s.cutLinks[[2]int{b, a}] = s.chance(0.7)
	s.after(length, func() { delete(s.cutLinks, [2]int{a, b}); delete(s.cutLinks, [2]int{b, a}) })
}

func (s *simulation) crash(p *process) {
	if p.dead {
		return
	}
	p.dead = true
	s.after(time.Second+s.upTo(3*time.Second), func() { s.start(p.slot) })
}

func (s *simulation) leave(p *process) {
	p.step(func(now time.Time) []owner.Effect {
		p.self.Leaving = true
		return p.node.Leave(now)
	})
	s.after(time.Second+s.upTo(8*time.Second), func() { s.crash(p) })
}

func (s *simulation) pause(p *process, length time.Duration) {
	p.pausedUntil = max(p.pausedUntil, s.now+length)
}

// start starts a process with a new name in a slot.
func (s *simulation) start(slot int) {
	s.processCount++
	p := &process{
		simulation:     s,
		slot:           slot,
		clockRate:      1 + (s.random.Float64()-0.5)/50,
		skew:           s.symmetric(wallSkew),
		startedAt:      s.now,
		registeredAt:   s.now,
		startsInFlight: map[lovagestand.ShardName]int{},
		releasing:      map[lovagestand.ShardName]bool{},
	}
	p.self = lovagestand.Instance{
		ID:            lovagestand.InstanceID(fmt.Sprintf("i%d", s.processCount)),
		Region:        simulatedRegion,
		FailureDomain: lovagestand.FailureDomain(fmt.Sprintf("d%d", slot%3)),
	}
	p.node = owner.NewNode(p.clock(), p.self, s.timing)
	if slot < len(s.processes) {
		s.processes[slot] = p
	} else {
		s.processes = append(s.processes, p)
	}
	var units []owner.Unit
	for _, shard := range s.shardNames {
		units = append(units, owner.Unit{Shard: shard, Region: simulatedRegion, Weight: 1})
	}
	p.node.SetUnits(units)
	p.loop(time.Second, p.listMembers)
	p.loop(700*time.Millisecond, p.watch)
	p.loop(s.timing.Heartbeat, p.heartbeat)
	p.loop(100*time.Millisecond, p.placeTasks)
}

// clock returns the time on the process's monotonic clock. Its wall clock is the time
// of the simulation plus skew.
func (p *process) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(p.simulation.now-p.startedAt) * p.clockRate))
}

// whenRunning runs f as soon as the process is not paused, unless it has died.
func (p *process) whenRunning(f func()) {
	switch {
	case p.dead:
	case p.pausedUntil > p.simulation.now:
		p.simulation.after(p.pausedUntil-p.simulation.now, func() { p.whenRunning(f) })
	default:
		f()
	}
}

// maybePause runs f. While faults are active, it sometimes pauses the whole process
// first.
func (p *process) maybePause(f func()) {
	if p.simulation.faultsActive() && p.simulation.chance(0.0004) {
		p.simulation.pause(p, p.simulation.upTo(8*time.Second))
	}
	p.whenRunning(f)
}

func (p *process) loop(period time.Duration, f func()) {
	p.simulation.after(p.simulation.upTo(period), func() { p.repeat(period, f) })
}

func (p *process) repeat(period time.Duration, f func()) {
	p.whenRunning(func() {
		f()
		p.simulation.after(period, func() { p.repeat(period, f) })
	})
}

// step reads the clock, reports an event to the node and carries out the effects. The
// process may be paused before each of these actions.
func (p *process) step(feed func(now time.Time) []owner.Effect) {
	p.whenRunning(func() {
		now := p.clock()
		p.maybePause(func() {
			for _, e := range feed(now) {
				p.maybePause(func() { p.perform(e) })
			}
		})
	})
}

// heartbeat sends a heartbeat to all other processes and ticks the node.
func (p *process) heartbeat() {
	for _, to := range p.simulation.processes {
		if to != p && !p.simulation.cutLinks[[2]int{p.slot, to.slot}] {
			p.deliver(to, owner.Message{})
		}
	}
	p.step(p.node.Tick)
}

func (p *process) perform(e owner.Effect) {
	switch e := e.(type) {
	case owner.Send:
		p.send(e)
	case owner.Read:
		p.read()
	case owner.Write:
		p.write(e)
	case owner.Warm:
		p.simulation.after(p.simulation.upTo(100*time.Millisecond), func() {
			p.step(func(time.Time) []owner.Effect { return p.node.WarmDone(e.Shard) })
		})
	case owner.Acquire:
		p.releasing[e.Lease.Shard] = false
	case owner.Release:
		p.releasing[e.Shard] = true
		p.release(e, 10)
	}
}

// release reports the release of a shard once all its starts have been answered, or
// after the given number of tries.
func (p *process) release(e owner.Release, tries int) {
	if p.startsInFlight[e.Shard] > 0 && tries > 0 {
		p.simulation.after(20*time.Millisecond, func() { p.whenRunning(func() { p.release(e, tries-1) }) })
		return
	}
	settled := p.startsInFlight[e.Shard] == 0
	p.step(func(now time.Time) []owner.Effect { return p.node.ReleaseDone(now, e.Shard, e.Epoch, settled) })
}

func (p *process) send(send owner.Send) {
	for _, to := range p.simulation.processes {
		if to.self.ID == send.To && !p.simulation.cutLinks[[2]int{p.slot, to.slot}] {
			p.deliver(to, send.Message)
			if p.simulation.faultsActive() && p.simulation.chance(0.05) {
				p.deliver(to, send.Message)
			}
		}
	}
}

func (p *process) deliver(to *process, m owner.Message) {
	if p.simulation.faultsActive() && p.simulation.chance(0.05) {
		return
	}
	from := p.self
	p.simulation.after(p.simulation.latency(), func() {
		if p.simulation.mutation.deliver != nil && p.simulation.mutation.deliver(p.simulation, p, to, m) {
			return
		}
		to.step(func(now time.Time) []owner.Effect {
			to.node.RecordContact(now, from)
			return to.node.Receive(now, from.ID, m)
		})
	})
}

// callStore runs apply in the store and reports its result, or reports a failure after
// storeTimeout. The call may take effect late, and its reply may be lost.
func (p *process) callStore(apply func() (report func(now time.Time) []owner.Effect), failed func(now time.Time) []owner.Effect) {
	s := p.simulation
	reported := false
	report := func(feed func(now time.Time) []owner.Effect) {
		p.whenRunning(func() {
			if !reported {
				reported = true
				p.step(feed)
			}
		})
	}
	s.after(storeTimeout, func() { report(failed) })
	if s.faultsActive() && s.chance(0.03) {
		return
	}
	s.after(s.latency(), func() {
		if s.storeDown && s.chance(0.9) {
			return
		}
		feed := apply()
		if !s.storeDown && !(s.faultsActive() && s.chance(0.05)) {
			s.after(s.latency(), func() { report(feed) })
		}
	})
}

func (p *process) read() {
	p.callStore(func() func(time.Time) []owner.Effect {
		document, revision := p.simulation.document, p.simulation.revision
		return func(now time.Time) []owner.Effect { return p.node.ReadDone(now, document, revision, true) }
	}, func(now time.Time) []owner.Effect {
		return p.node.ReadDone(now, owner.Document{Region: simulatedRegion}, 0, false)
	})
}

func (p *process) watch() {
	p.callStore(func() func(time.Time) []owner.Effect {
		document, revision := p.simulation.document, p.simulation.revision
		return func(now time.Time) []owner.Effect { return p.node.Watched(now, document, revision) }
	}, func(time.Time) []owner.Effect { return nil })
}

func (p *process) write(w owner.Write) {
	p.callStore(func() func(time.Time) []owner.Effect {
		revision, err := p.simulation.put(w)
		return func(now time.Time) []owner.Effect { return p.node.WriteDone(now, w.Document, revision, err) }
	}, func(now time.Time) []owner.Effect { return p.node.WriteDone(now, w.Document, 0, errNoReply) })
}

func (s *simulation) put(w owner.Write) (lovagestand.Revision, error) {
	if s.revision != w.Previous {
		return 0, &lovagestand.ConflictError{Expected: w.Previous, Found: s.revision}
	}
	s.revision++
	s.document = w.Document
	return s.revision, nil
}

// listMembers registers the process and reads the member list.
func (p *process) listMembers() {
	began := p.clock()
	down := p.simulation.listDown
	if !down {
		p.registeredAt = p.simulation.now
	}
	var members []lovagestand.Instance
	for _, i := range p.simulation.processes {
		if p.simulation.now-i.registeredAt < memberTTL {
			members = append(members, i.self)
		}
	}
	p.simulation.after(p.simulation.latency(), func() {
		p.step(func(now time.Time) []owner.Effect {
			if down {
				p.node.MemberListFailed(began)
				return nil
			}
			return p.node.MemberListRead(now, began, members)
		})
	})
}

// placeTasks sends a start on each shard for which the process has an ownership lease.
// The process may be paused after it has checked the lease and before it sends.
func (p *process) placeTasks() {
	for _, shard := range p.simulation.shardNames {
		now := p.clock()
		lease, ok := p.node.Lease(now, shard)
		if !ok || p.releasing[shard] || now.Before(lease.SettleUntil) {
			continue
		}
		notAfter := p.simulation.now + p.skew + min(startWindow, lease.Until.Sub(now))
		p.startsInFlight[shard]++
		p.maybePause(func() { p.sendStart(shard, lease, notAfter) })
	}
}

func (p *process) sendStart(shard lovagestand.ShardName, lease lovagestand.OwnershipLease, notAfter time.Duration) {
	s := p.simulation
	latency := s.latency()
	if s.faultsActive() && s.chance(0.1) {
		latency = s.upTo(startWindow + 2*wallSkew)
	}
	s.after(latency, func() {
		s.shards[shard].receiveStart(s, p, lease, notAfter)
		s.after(s.latency(), func() { p.startsInFlight[shard]-- })
	})
}

// receiveStart handles a start at the workers, which accept it if it arrives in time. It
// is a violation if they accept a start from another owner than that of the last accepted
// start and its epoch is not later.
func (w *shardWorkers) receiveStart(s *simulation, p *process, lease lovagestand.OwnershipLease, notAfter time.Duration) {
	if s.now+w.skew > notAfter {
		return
	}
	s.accepted++
	if p.self.ID != w.lastOwner && lease.Epoch <= w.lastEpoch {
		s.violation = fmt.Sprintf("at %s: shard %s accepted a start from %s in epoch %d after one from %s in epoch %d",
			s.now, lease.Shard, p.self.ID, lease.Epoch, w.lastOwner, w.lastEpoch)
	}
	w.lastOwner = p.self.ID
	w.lastEpoch = max(w.lastEpoch, lease.Epoch)
}
