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
	// startWindow is how long a start may be under way, wallSkew how far any
	// wall clock is off at most.
	startWindow = 500 * time.Millisecond
	wallSkew    = 200 * time.Millisecond
	storeWait   = time.Second
	listLag     = 3 * time.Second
)

var errNoReply = errors.New("no reply")

// event is something that happens at a true time, counted from 0.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// flaw is a mistake put into the protocol, to be found.
type flaw struct {
	// from is the first seed to try.
	from   uint64
	timing func(*owner.Timing)
	// carry replaces the delivery of a message; false if it leaves it alone.
	carry func(s *simulation, from, to *process, m owner.Message) bool
}

// simulation is a fleet with one region, its store, its member list and its
// workers, under faults drawn from a seed.
type simulation struct {
	random *rand.Rand
	timing owner.Timing
	flaw   flaw
	now    time.Duration
	seq    int
	agenda agenda
	// quiet is when faults end.
	quiet     time.Duration
	processes []*process
	// born counts the processes so far.
	born int

	document  owner.Document
	revision  lovagestand.Revision
	storeDown bool
	listDown  bool
	cut       map[[2]int]bool

	// names are those of shards, in a fixed order.
	names     []lovagestand.ShardName
	shards    map[lovagestand.ShardName]*judge
	accepted  int
	violation string
}

// judge is what the workers of a shard have seen.
type judge struct {
	skew  time.Duration
	epoch lovagestand.Epoch
	owner lovagestand.InstanceID
}

// process is one instance with its own clocks.
type process struct {
	s         *simulation
	slot      int
	self      lovagestand.Instance
	node      *owner.Node
	rate      float64
	skew      time.Duration
	born      time.Duration
	dead      bool
	paused    time.Duration
	listed    time.Duration
	flying    map[lovagestand.ShardName]int
	releasing map[lovagestand.ShardName]bool
}

func newSimulation(seed uint64, f flaw) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		timing:   owner.DefaultTiming(),
		flaw:     f,
		quiet:    45 * time.Second,
		document: owner.Document{Region: simulatedRegion},
		cut:      map[[2]int]bool{},
		shards:   map[lovagestand.ShardName]*judge{},
	}
	s.timing.StartWindow = startWindow
	s.timing.Settle = 2 * wallSkew
	if f.timing != nil {
		f.timing(&s.timing)
	}
	for i := range simulatedShards {
		shard := lovagestand.ShardName(fmt.Sprintf("malabar/rack%d", i))
		s.names = append(s.names, shard)
		s.shards[shard] = &judge{skew: s.around(wallSkew)}
	}
	for slot := range 3 + s.random.IntN(3) {
		s.start(slot)
	}
	s.after(5*time.Second, s.fault)
	return s
}

// run runs for a while and returns what went wrong.
func (s *simulation) run(until time.Duration) string {
	for len(s.agenda) > 0 && s.violation == "" {
		e := heap.Pop(&s.agenda).(event)
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
	heap.Push(&s.agenda, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

// around returns a duration between -d and d, upTo one between 0 and d.
func (s *simulation) around(d time.Duration) time.Duration { return s.upTo(2*d) - d }

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *simulation) faulty() bool { return s.now < s.quiet }

// latency is mostly short; during faults it is now and then long.
func (s *simulation) latency() time.Duration {
	if s.faulty() && s.chance(0.06) {
		return s.upTo(4 * time.Second)
	}
	return time.Millisecond + s.upTo(20*time.Millisecond)
}

// fault begins one fault and plans the next; faults overlap.
func (s *simulation) fault() {
	if !s.faulty() {
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
		s.sever(p.slot, s.random.IntN(len(s.processes)), length)
	case 6:
		for slot := range s.processes {
			s.sever(p.slot, slot, length)
		}
	case 7:
		s.leave(p)
	case 8:
		s.crash(p)
		s.storeDown = true
		s.after(length, func() { s.storeDown = false })
	}
}

func (s *simulation) sever(a, b int, length time.Duration) {
	s.cut[[2]int{a, b}] = true
	s.cut[[2]int{b, a}] = s.chance(0.7)
	s.after(length, func() { delete(s.cut, [2]int{a, b}); delete(s.cut, [2]int{b, a}) })
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
	p.paused = max(p.paused, s.now+length)
}

// start starts a process under a new name in a slot.
func (s *simulation) start(slot int) {
	s.born++
	p := &process{
		s:         s,
		slot:      slot,
		rate:      1 + (s.random.Float64()-0.5)/50,
		skew:      s.around(wallSkew),
		born:      s.now,
		listed:    s.now,
		flying:    map[lovagestand.ShardName]int{},
		releasing: map[lovagestand.ShardName]bool{},
	}
	p.self = lovagestand.Instance{
		ID:            lovagestand.InstanceID(fmt.Sprintf("i%d", s.born)),
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
	for _, shard := range s.names {
		units = append(units, owner.Unit{Shard: shard, Region: simulatedRegion, Weight: 1})
	}
	p.node.SetUnits(units)
	p.loop(time.Second, p.list)
	p.loop(700*time.Millisecond, p.watch)
	p.loop(s.timing.Heartbeat, p.beat)
	p.loop(100*time.Millisecond, p.place)
}

// clock is the process's monotonic clock; wall, its wall clock, is s.now
// moved by its skew.
func (p *process) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(p.s.now-p.born) * p.rate))
}

// do runs f once the process is not paused, unless it has died.
func (p *process) do(f func()) {
	switch {
	case p.dead:
	case p.paused > p.s.now:
		p.s.after(p.paused-p.s.now, func() { p.do(f) })
	default:
		f()
	}
}

// hesitate lets f happen after a pause of the whole process, now and then.
func (p *process) hesitate(f func()) {
	if p.s.faulty() && p.s.chance(0.0004) {
		p.s.pause(p, p.s.upTo(8*time.Second))
	}
	p.do(f)
}

func (p *process) loop(period time.Duration, f func()) {
	p.s.after(p.s.upTo(period), func() { p.repeat(period, f) })
}

func (p *process) repeat(period time.Duration, f func()) {
	p.do(func() {
		f()
		p.s.after(period, func() { p.repeat(period, f) })
	})
}

// step reads the clock, feeds the node and carries out its effects; the process
// may be paused before each.
func (p *process) step(feed func(now time.Time) []owner.Effect) {
	p.do(func() {
		now := p.clock()
		p.hesitate(func() {
			for _, e := range feed(now) {
				p.hesitate(func() { p.perform(e) })
			}
		})
	})
}

// beat is one heartbeat to all others.
func (p *process) beat() {
	for _, to := range p.s.processes {
		if to != p && !p.s.cut[[2]int{p.slot, to.slot}] {
			p.carry(to, owner.Message{})
		}
	}
	p.step(p.node.Tick)
}

func (p *process) perform(e owner.Effect) {
	switch e := e.(type) {
	case owner.Send:
		p.post(e)
	case owner.Read:
		p.read()
	case owner.Write:
		p.write(e)
	case owner.Warm:
		p.s.after(p.s.upTo(100*time.Millisecond), func() {
			p.step(func(time.Time) []owner.Effect { return p.node.WarmDone(e.Shard) })
		})
	case owner.Acquire:
		p.releasing[e.Right.Shard] = false
	case owner.Release:
		p.releasing[e.Shard] = true
		p.release(e, 10)
	}
}

// release reports once no start is unanswered, or after some tries.
func (p *process) release(e owner.Release, tries int) {
	if p.flying[e.Shard] > 0 && tries > 0 {
		p.s.after(20*time.Millisecond, func() { p.do(func() { p.release(e, tries-1) }) })
		return
	}
	settled := p.flying[e.Shard] == 0
	p.step(func(now time.Time) []owner.Effect { return p.node.ReleaseDone(now, e.Shard, e.Epoch, settled) })
}

func (p *process) post(send owner.Send) {
	for _, to := range p.s.processes {
		if to.self.ID == send.To && !p.s.cut[[2]int{p.slot, to.slot}] {
			p.carry(to, send.Message)
			if p.s.faulty() && p.s.chance(0.05) {
				p.carry(to, send.Message)
			}
		}
	}
}

func (p *process) carry(to *process, m owner.Message) {
	if p.s.faulty() && p.s.chance(0.05) {
		return
	}
	from := p.self
	p.s.after(p.s.latency(), func() {
		if p.s.flaw.carry != nil && p.s.flaw.carry(p.s, p, to, m) {
			return
		}
		to.step(func(now time.Time) []owner.Effect {
			to.node.RecordContact(now, from)
			return to.node.Receive(now, from.ID, m)
		})
	})
}

// call runs effect in the store and reports, or reports failure after a
// while; the effect may come late and the reply get lost.
func (p *process) call(effect func() (report func(now time.Time) []owner.Effect), failed func(now time.Time) []owner.Effect) {
	s := p.s
	reported := false
	report := func(feed func(now time.Time) []owner.Effect) {
		p.do(func() {
			if !reported {
				reported = true
				p.step(feed)
			}
		})
	}
	s.after(storeWait, func() { report(failed) })
	if s.faulty() && s.chance(0.03) {
		return
	}
	s.after(s.latency(), func() {
		if s.storeDown && s.chance(0.9) {
			return
		}
		feed := effect()
		if !s.storeDown && !(s.faulty() && s.chance(0.05)) {
			s.after(s.latency(), func() { report(feed) })
		}
	})
}

func (p *process) read() {
	p.call(func() func(time.Time) []owner.Effect {
		document, revision := p.s.document, p.s.revision
		return func(now time.Time) []owner.Effect { return p.node.ReadDone(now, document, revision, true) }
	}, func(now time.Time) []owner.Effect {
		return p.node.ReadDone(now, owner.Document{Region: simulatedRegion}, 0, false)
	})
}

func (p *process) watch() {
	p.call(func() func(time.Time) []owner.Effect {
		document, revision := p.s.document, p.s.revision
		return func(now time.Time) []owner.Effect { return p.node.Watched(now, document, revision) }
	}, func(time.Time) []owner.Effect { return nil })
}

func (p *process) write(w owner.Write) {
	p.call(func() func(time.Time) []owner.Effect {
		revision, err := p.s.put(w)
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

// list registers the process and reads the member list.
func (p *process) list() {
	began := p.clock()
	down := p.s.listDown
	if !down {
		p.listed = p.s.now
	}
	var members []lovagestand.Instance
	for _, i := range p.s.processes {
		if p.s.now-i.listed < listLag {
			members = append(members, i.self)
		}
	}
	p.s.after(p.s.latency(), func() {
		p.step(func(now time.Time) []owner.Effect {
			if down {
				p.node.MemberListFailed(began)
				return nil
			}
			return p.node.MemberListRead(now, began, members)
		})
	})
}

// place sends a start on each shard to which the process has the right; it may
// be paused between the check and the sending.
func (p *process) place() {
	for _, shard := range p.s.names {
		now := p.clock()
		right, ok := p.node.Lease(now, shard)
		if !ok || p.releasing[shard] || now.Before(right.SettleUntil) {
			continue
		}
		notAfter := p.s.now + p.skew + min(startWindow, right.Until.Sub(now))
		p.flying[shard]++
		p.hesitate(func() { p.send(shard, right, notAfter) })
	}
}

func (p *process) send(shard lovagestand.ShardName, right lovagestand.OwnershipLease, notAfter time.Duration) {
	s := p.s
	latency := s.latency()
	if s.faulty() && s.chance(0.1) {
		latency = s.upTo(startWindow + 2*wallSkew)
	}
	s.after(latency, func() {
		s.shards[shard].judge(s, p, right, notAfter)
		s.after(s.latency(), func() { p.flying[shard]-- })
	})
}

// judge is the worker's side: a start that arrives in time begins, and must not
// follow one of a later owner.
func (j *judge) judge(s *simulation, p *process, right lovagestand.OwnershipLease, notAfter time.Duration) {
	if s.now+j.skew > notAfter {
		return
	}
	s.accepted++
	if p.self.ID != j.owner && right.Epoch <= j.epoch {
		s.violation = fmt.Sprintf("at %s %s began a start of %s in epoch %d after %s did in epoch %d",
			s.now, right.Shard, p.self.ID, right.Epoch, j.owner, j.epoch)
	}
	j.owner = p.self.ID
	j.epoch = max(j.epoch, right.Epoch)
}
