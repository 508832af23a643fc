package region

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

const (
	meanRunTime      = 500 * time.Millisecond
	messageBytes     = 20_000
	entriesPerRegion = 3
	maxBatchQueue    = 400
	urgentShare      = 0.3
	pool             = lovagestand.PoolName("p")
)

// scenario is a load on three regions of three shards each.
type scenario struct {
	name     string
	slots    int
	duration time.Duration
	// load is each region's demand as a fraction of its own capacity.
	load [3]float64
	// During a disturbance region 0 has only remainingSlotShare of its slots if
	// that is not 0, or is cut off from the others if regionCutOff is set.
	disturbedFrom, disturbedUntil time.Duration
	remainingSlotShare            float64
	regionCutOff                  bool
}

func (s scenario) disturbed(at time.Duration) bool {
	return at >= s.disturbedFrom && at < s.disturbedUntil
}

// measurements are the results of a simulation: the waits of urgent and batch
// tasks, the billed megabytes and the batch tasks rejected by a full queue.
type measurements struct {
	urgent, batch []time.Duration
	paidMB        float64
	rejected      int
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

// simulatedShard runs tasks on a number of slots, urgent tasks first.
type simulatedShard struct {
	region, running, slots int
	urgent, batch          []queuedTask
	digestTime             time.Duration
	digest                 lovagestand.Digest
}

type queuedTask struct {
	arrived time.Duration
	class   lovagestand.Class
}

// simulationEvent is an arrival in a region (shard is -1), the arrival of a task
// at a shard (arriving is set) or the end of a task in a shard.
type simulationEvent struct {
	at            time.Duration
	shard, region int
	arriving      *queuedTask
}

type eventQueue []simulationEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(simulationEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs one scenario with one policy.
type simulation struct {
	scenario
	digestInterval time.Duration
	random         *rand.Rand
	now            time.Duration
	shards         []*simulatedShard
	choosers       [3][]Chooser
	events         eventQueue
	measured       measurements
}

// policy makes the chooser of one entry in a region.
type policy func(r *simulation, region lovagestand.RegionName) Chooser

var shardNames = []lovagestand.ShardName{"0", "1", "2", "3", "4", "5", "6", "7", "8"}

func regionOf(i int) lovagestand.RegionName {
	return []lovagestand.RegionName{"malabar", "ernakulam", "travancore"}[i]
}

// newSimulation prepares a scenario in which each shard makes a digest every
// digestInterval. The digests of the shards are spread over the interval.
func newSimulation(s scenario, digestInterval time.Duration, p policy) *simulation {
	r := &simulation{scenario: s, digestInterval: digestInterval, random: rand.New(rand.NewPCG(7, 7))}
	for i := range 9 {
		r.shards = append(r.shards, &simulatedShard{region: i / 3, slots: s.slots})
		r.shards[i].digestTime = -digestInterval * time.Duration(i) / 9
		r.makeDigest(i)
	}
	for region := range 3 {
		for range entriesPerRegion {
			r.choosers[region] = append(r.choosers[region], p(r, regionOf(region)))
		}
		r.nextArrival(region)
	}
	return r
}

// simulate runs a scenario to its end.
func simulate(s scenario, digestInterval time.Duration, p policy) *measurements {
	r := newSimulation(s, digestInterval, p)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(simulationEvent)
		r.now = e.at
		r.handle(e)
	}
	return &r.measured
}

func (r *simulation) handle(e simulationEvent) {
	switch {
	case e.shard < 0:
		r.arrive(e.region)
		r.nextArrival(e.region)
	case e.arriving != nil:
		r.enqueue(e.shard, *e.arriving)
	default:
		r.shards[e.shard].running--
		r.dispatch(e.shard)
	}
}

func (r *simulation) nextArrival(region int) {
	rate := r.load[region] * float64(3*r.slots) / meanRunTime.Seconds()
	at := r.now + time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))
	if at < r.duration {
		heap.Push(&r.events, simulationEvent{at: at, shard: -1, region: region})
	}
}

// arrive chooses a shard for a new task and sends it there.
func (r *simulation) arrive(region int) {
	t := lovagestand.Task{
		Pool: pool, Class: lovagestand.ClassBatch, Route: "bulk", RunTime: meanRunTime,
		Resources: lovagestand.Resources{MilliCPU: 1000},
	}
	if r.random.Float64() < urgentShare {
		t.Class, t.Route = lovagestand.ClassUrgent, "quote"
	}
	chooser := r.choosers[region][r.random.IntN(entriesPerRegion)]
	chosen, _, err := chooser.Choose(t, messageBytes, r.candidates(region))
	if err != nil {
		panic(err)
	}
	to := slices.Index(shardNames, chosen.Shard)
	at := r.now
	if r.shards[to].region != region {
		at += DefaultLinkDelay
		r.measured.paidMB += 2 * messageBytes / 1e6
	}
	heap.Push(&r.events, simulationEvent{at: at, shard: to, arriving: &queuedTask{arrived: r.now, class: t.Class}})
}

func (r *simulation) candidates(region int) []Candidate {
	candidates := make([]Candidate, 0, len(r.shards))
	for i, s := range r.shards {
		if r.regionCutOff && r.disturbed(r.now) && s.region != region && (region == 0 || s.region == 0) {
			continue
		}
		if r.now-s.digestTime >= r.digestInterval {
			s.digestTime += (r.now - s.digestTime) / r.digestInterval * r.digestInterval
			r.makeDigest(i)
		}
		candidates = append(candidates, Candidate{
			Shard: shardNames[i], Region: regionOf(s.region),
			Digest: s.digest, Age: r.now - s.digestTime,
		})
	}
	return candidates
}

// makeDigest makes the digest of a shard. The digest shows the state when it is
// first read after it is due, not when it is due.
func (r *simulation) makeDigest(i int) {
	s := r.shards[i]
	slots := max(r.workingSlots(s), s.running)
	p := lovagestand.PoolDigest{
		Pool: pool, Workers: 1, Running: s.running,
		Capacity:        lovagestand.Resources{MilliCPU: int64(slots) * 1000},
		Free:            lovagestand.Resources{MilliCPU: int64(slots-s.running) * 1000},
		LargestCapacity: lovagestand.Resources{MilliCPU: int64(slots) * 1000},
		Waiting:         map[lovagestand.Class]int{lovagestand.ClassUrgent: len(s.urgent), lovagestand.ClassBatch: len(s.batch)},
		Wait:            make(map[lovagestand.Class]time.Duration),
	}
	if s.running >= slots {
		p.Wait[lovagestand.ClassUrgent] = time.Duration(len(s.urgent)+1) * meanRunTime / time.Duration(slots)
		p.Wait[lovagestand.ClassBatch] = time.Duration(len(s.urgent)+len(s.batch)+1) * meanRunTime / time.Duration(slots)
	}
	s.digest = lovagestand.Digest{Pools: []lovagestand.PoolDigest{p}}
}

func (r *simulation) enqueue(i int, j queuedTask) {
	s := r.shards[i]
	switch {
	case j.class == lovagestand.ClassUrgent:
		s.urgent = append(s.urgent, j)
	case len(s.batch) < maxBatchQueue:
		s.batch = append(s.batch, j)
	default:
		r.measured.rejected++
	}
	r.dispatch(i)
}

// workingSlots returns the number of slots that a shard can use at this time.
func (r *simulation) workingSlots(s *simulatedShard) int {
	if s.region == 0 && r.remainingSlotShare > 0 && r.disturbed(r.now) {
		return int(float64(s.slots) * r.remainingSlotShare)
	}
	return s.slots
}

func (r *simulation) dispatch(i int) {
	s := r.shards[i]
	for s.running < r.workingSlots(s) && len(s.urgent)+len(s.batch) > 0 {
		if len(s.urgent) > 0 {
			r.measured.urgent = append(r.measured.urgent, r.now-s.urgent[0].arrived)
			s.urgent = s.urgent[1:]
		} else {
			r.measured.batch = append(r.measured.batch, r.now-s.batch[0].arrived)
			s.batch = s.batch[1:]
		}
		s.running++
		run := time.Duration(r.random.ExpFloat64() * float64(meanRunTime))
		heap.Push(&r.events, simulationEvent{at: r.now + run, shard: i})
	}
}
