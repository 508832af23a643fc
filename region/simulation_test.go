package region

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

const (
	replayRunTime = 500 * time.Millisecond
	replayBytes   = 20_000
	replayEntries = 3
	replayQueue   = 400
	urgentShare   = 0.3
	pool          = lovagestand.PoolName("p")
)

// scenario is a load on three regions of three shards each.
type scenario struct {
	name  string
	slots int
	span  time.Duration
	// load is each region's demand as a fraction of its own capacity.
	load [3]float64
	// During a disturbance region 0 has only weak of its slots, or is cut off.
	from, till time.Duration
	weak       float64
	cut        bool
}

func (s scenario) disturbed(at time.Duration) bool {
	return at >= s.from && at < s.till
}

// measured is what a replay has measured.
type measured struct {
	urgent, batch []time.Duration
	paid          float64
	shed          int
}

func mean(waits []time.Duration) (sum time.Duration) {
	for _, w := range waits {
		sum += w
	}
	return sum / time.Duration(max(len(waits), 1))
}

func p99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// shard runs tasks on slots, urgent ones first.
type shard struct {
	region, running, slots int
	urgent, batch          []job
	made                   time.Duration
	digest                 lovagestand.Digest
}

type job struct {
	arrived time.Duration
	class   lovagestand.Class
}

// event is a thing that happens; shard is -1 for an arrival in a region.
type event struct {
	at            time.Duration
	shard, region int
	arrives       *job
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay is one scenario under one policy.
type replay struct {
	scenario
	age      time.Duration
	random   *rand.Rand
	now      time.Duration
	shards   []*shard
	choosers [3][]Chooser
	events   events
	measured measured
}

// policy makes the chooser of one entry in a region.
type policy func(r *replay, region lovagestand.RegionName) Chooser

var shardNames = []lovagestand.ShardName{"0", "1", "2", "3", "4", "5", "6", "7", "8"}

func regionOf(i int) lovagestand.RegionName {
	return []lovagestand.RegionName{"malabar", "ernakulam", "travancore"}[i]
}

// newReplay prepares a scenario with digests made every age.
func newReplay(s scenario, age time.Duration, p policy) *replay {
	r := &replay{scenario: s, age: age, random: rand.New(rand.NewPCG(7, 7))}
	for i := range 9 {
		r.shards = append(r.shards, &shard{region: i / 3, slots: s.slots})
		r.shards[i].made = -age * time.Duration(i) / 9
		r.report(i)
	}
	for region := range 3 {
		for range replayEntries {
			r.choosers[region] = append(r.choosers[region], p(r, regionOf(region)))
		}
		r.nextArrival(region)
	}
	return r
}

// run replays a scenario to its end.
func run(s scenario, age time.Duration, p policy) *measured {
	r := newReplay(s, age, p)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		r.handle(e)
	}
	return &r.measured
}

func (r *replay) handle(e event) {
	switch {
	case e.shard < 0:
		r.arrive(e.region)
		r.nextArrival(e.region)
	case e.arrives != nil:
		r.enqueue(e.shard, *e.arrives)
	default:
		r.shards[e.shard].running--
		r.dispatch(e.shard)
	}
}

func (r *replay) nextArrival(region int) {
	rate := r.load[region] * float64(3*r.slots) / replayRunTime.Seconds()
	at := r.now + time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))
	if at < r.span {
		heap.Push(&r.events, event{at: at, shard: -1, region: region})
	}
}

// arrive chooses a shard for a new task and sends it there.
func (r *replay) arrive(region int) {
	t := lovagestand.Task{
		Pool: pool, Class: lovagestand.ClassBatch, Route: "bulk", RunTime: replayRunTime,
		Resources: lovagestand.Resources{MilliCPU: 1000},
	}
	if r.random.Float64() < urgentShare {
		t.Class, t.Route = lovagestand.ClassUrgent, "quote"
	}
	chooser := r.choosers[region][r.random.IntN(replayEntries)]
	chosen, _, err := chooser.Choose(t, replayBytes, r.candidates(region))
	if err != nil {
		panic(err)
	}
	to := slices.Index(shardNames, chosen.Shard)
	at := r.now
	if r.shards[to].region != region {
		at += DefaultLinkDelay
		r.measured.paid += 2 * replayBytes / 1e6
	}
	heap.Push(&r.events, event{at: at, shard: to, arrives: &job{arrived: r.now, class: t.Class}})
}

func (r *replay) candidates(region int) []Candidate {
	candidates := make([]Candidate, 0, len(r.shards))
	for i, s := range r.shards {
		if r.cut && r.disturbed(r.now) && s.region != region && (region == 0 || s.region == 0) {
			continue
		}
		if r.now-s.made >= r.age {
			s.made += (r.now - s.made) / r.age * r.age
			r.report(i)
		}
		candidates = append(candidates, Candidate{
			Shard: shardNames[i], Region: regionOf(s.region),
			Digest: s.digest, Age: r.now - s.made,
		})
	}
	return candidates
}

// report makes a shard's digest, of the moment it is first looked at.
func (r *replay) report(i int) {
	s := r.shards[i]
	slots := max(r.slotsOf(s), s.running)
	p := lovagestand.PoolDigest{
		Pool: pool, Workers: 1, Running: s.running,
		Capacity:        lovagestand.Resources{MilliCPU: int64(slots) * 1000},
		Free:            lovagestand.Resources{MilliCPU: int64(slots-s.running) * 1000},
		LargestCapacity: lovagestand.Resources{MilliCPU: int64(slots) * 1000},
		Waiting:         map[lovagestand.Class]int{lovagestand.ClassUrgent: len(s.urgent), lovagestand.ClassBatch: len(s.batch)},
		Wait:            make(map[lovagestand.Class]time.Duration),
	}
	if s.running >= slots {
		p.Wait[lovagestand.ClassUrgent] = time.Duration(len(s.urgent)+1) * replayRunTime / time.Duration(slots)
		p.Wait[lovagestand.ClassBatch] = time.Duration(len(s.urgent)+len(s.batch)+1) * replayRunTime / time.Duration(slots)
	}
	s.digest = lovagestand.Digest{Pools: []lovagestand.PoolDigest{p}}
}

func (r *replay) enqueue(i int, j job) {
	s := r.shards[i]
	switch {
	case j.class == lovagestand.ClassUrgent:
		s.urgent = append(s.urgent, j)
	case len(s.batch) < replayQueue:
		s.batch = append(s.batch, j)
	default:
		r.measured.shed++
	}
	r.dispatch(i)
}

// slotsOf returns how many slots of a shard work now.
func (r *replay) slotsOf(s *shard) int {
	if s.region == 0 && r.weak > 0 && r.disturbed(r.now) {
		return int(float64(s.slots) * r.weak)
	}
	return s.slots
}

func (r *replay) dispatch(i int) {
	s := r.shards[i]
	for s.running < r.slotsOf(s) && len(s.urgent)+len(s.batch) > 0 {
		if len(s.urgent) > 0 {
			r.measured.urgent = append(r.measured.urgent, r.now-s.urgent[0].arrived)
			s.urgent = s.urgent[1:]
		} else {
			r.measured.batch = append(r.measured.batch, r.now-s.batch[0].arrived)
			s.batch = s.batch[1:]
		}
		s.running++
		run := time.Duration(r.random.ExpFloat64() * float64(replayRunTime))
		heap.Push(&r.events, event{at: r.now + run, shard: i})
	}
}
