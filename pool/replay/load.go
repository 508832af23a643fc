package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lovagestand.example/lovagestand"
)

// Load describes a seeded load on a cell of Workers workers of 32 cores and
// 128 GB, eight to a rack, every second one with four accelerators.
type Load struct {
	Seed     uint64
	Workers  int
	Teams    int
	Duration time.Duration
	// Offered is the offered load as a fraction of all processors.
	Offered float64
	// Shares of the offered load by class; batch takes the rest.
	Urgent, Service, Gang float64
	// GangSize is how many tasks a gang has.
	GangSize int
	// DeclarationError is the most by which declared sizes and run times are wrong.
	DeclarationError float64
	// Headroom is the policy's share for urgent work.
	Headroom float64
	// Checkpoint is how long a displaced task takes to stop.
	Checkpoint time.Duration
	// Merged makes one worker of all, on which nothing is lost by packing.
	Merged bool
	// Greedy is the part of the batch load that one team sends.
	Greedy float64
}

// StandardLoad returns the load on which the policy is measured: a full cell of
// today's size whose declarations are off by up to five times.
func StandardLoad(seed uint64) Load {
	return Load{
		Seed: seed, Workers: 50, Teams: 38, Duration: 30 * time.Minute, Offered: 0.95,
		Urgent: 0.08, Service: 0.2, Gang: 0.1, GangSize: 64, DeclarationError: 5, Headroom: 0.02,
		Checkpoint: 400 * time.Millisecond, Greedy: 0.4,
	}
}

const (
	poolName = lovagestand.PoolName("cell")
	// coresPerWorker is what each worker has.
	coresPerWorker = 32
	// burstEvery and burstFor time the bursts of urgent work, which then
	// comes burstFactor times as fast as else.
	burstEvery  = 2 * time.Minute
	burstFor    = 15 * time.Second
	burstFactor = 3.0
)

func (l Load) workers() []lovagestand.Worker {
	if l.Merged {
		return []lovagestand.Worker{l.mergedWorker()}
	}
	var out []lovagestand.Worker
	for i := range l.Workers {
		out = append(out, lovagestand.Worker{
			Name:          lovagestand.WorkerName(fmt.Sprintf("w%02d", i)),
			FailureDomain: lovagestand.FailureDomain(fmt.Sprintf("d%d", i/8%3)),
			Rack:          lovagestand.RackName(fmt.Sprintf("r%d", i/8)),
			Capacity: lovagestand.Resources{
				MilliCPU: coresPerWorker * 1000, MemoryMiB: 128 << 10, Accelerators: int64(i % 2 * 4),
			},
			Slots: 64,
		})
	}
	return out
}

func (l Load) mergedWorker() lovagestand.Worker {
	each := lovagestand.Resources{MilliCPU: coresPerWorker * 1000, MemoryMiB: 128 << 10}
	return lovagestand.Worker{Name: "all", Slots: 1 << 20, Capacity: each.Times(int64(l.Workers))}
}

func (l Load) policy() lovagestand.Policy {
	return lovagestand.Policy{Pool: poolName, HeadroomShare: l.Headroom}
}

// jobGenerator draws jobs.
type jobGenerator struct {
	load   Load
	random *rand.Rand
	jobs   []*job
}

// jobs draws all jobs of a load.
func (l Load) jobs() []*job {
	s := &jobGenerator{load: l, random: rand.New(rand.NewPCG(l.Seed, 7))}
	cores := l.Offered * float64(l.Workers*coresPerWorker)
	s.services(cores * l.Service)
	s.generateArrivals(cores*l.Urgent, s.urgent)
	s.generateArrivals(cores*l.Gang, s.gang)
	s.generateArrivals(cores*(1-l.Urgent-l.Service-l.Gang), s.batch)
	return s.jobs
}

// declarationError draws a factor between 1/Off and Off with median 1.
func (s *jobGenerator) declarationError() float64 {
	return math.Pow(s.load.DeclarationError, 2*s.random.Float64()-1)
}

// longTailed draws from a distribution with the given mean and a long tail,
// bounded to ten times the mean.
func (s *jobGenerator) longTailed(mean float64) float64 {
	const sigma = 1.0
	return min(mean*math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2), 10*mean)
}

// generateArrivals draws arrivals until the end, so that on average they take cores;
// draw returns the core-seconds of what it added.
func (s *jobGenerator) generateArrivals(cores float64, draw func(at time.Duration) float64) {
	if cores <= 0 {
		return
	}
	work := 0.0
	at := time.Duration(0)
	for at < s.load.Duration {
		work += draw(at)
		at = time.Duration(work / cores * float64(time.Second))
	}
}

func (s *jobGenerator) add(class lovagestand.Class, at time.Duration, cores, seconds float64) *job {
	n := len(s.jobs)
	milli := int64(math.Ceil(cores*10)) * 100
	j := &job{
		arrival:   at,
		remaining: time.Duration(seconds * float64(time.Second)),
		task: lovagestand.Task{
			ID: lovagestand.TaskID(fmt.Sprintf("t%06d", n)), Key: lovagestand.RequestKey(fmt.Sprintf("k%06d", n)),
			Pool: poolName, Class: class, Route: lovagestand.RouteName(class), Team: s.team(),
			Resources: lovagestand.Resources{MilliCPU: milli, MemoryMiB: milli * 2},
			RunTime:   time.Duration(seconds * s.declarationError() * float64(time.Second)),
		},
	}
	s.jobs = append(s.jobs, j)
	return j
}

func (s *jobGenerator) team() lovagestand.TeamName {
	return lovagestand.TeamName(fmt.Sprintf("team%02d", s.random.IntN(s.load.Teams)))
}

// declaredSizeAndRunTime draws the true size and the declared one. A task that takes more than
// declared is throttled to what it declared and runs longer; one that takes
// less wastes the rest. So what is reserved is the declared size, for a time
// of the true size over it if it is larger.
func (s *jobGenerator) declaredSizeAndRunTime(cores, seconds float64) (declared, runSeconds float64) {
	declared = min(max(cores*s.declarationError(), 0.1), coresPerWorker/2)
	return declared, seconds * max(cores/declared, 1)
}

func (s *jobGenerator) services(cores float64) {
	for cores > 0 {
		size := 0.5 + 3*s.random.Float64()
		j := s.add(lovagestand.ClassService, 0, size, (2 * s.load.Duration).Seconds())
		j.task.Route = lovagestand.RouteName(fmt.Sprintf("service%d", s.random.IntN(12)))
		cores -= size
	}
}

// urgent draws small and short tasks, which come in bursts.
func (s *jobGenerator) urgent(at time.Duration) float64 {
	declared, runSeconds := s.declaredSizeAndRunTime(0.8, s.longTailed(2))
	j := s.add(lovagestand.ClassUrgent, at, declared, runSeconds)
	j.task.Idempotent = true
	work := declared * runSeconds
	normalFactor := 1 - (burstFactor-1)*burstFor.Seconds()/burstEvery.Seconds()
	if at%burstEvery < burstFor {
		return work / burstFactor
	}
	return work / normalFactor
}

func (s *jobGenerator) batch(at time.Duration) float64 {
	declared, runSeconds := s.declaredSizeAndRunTime(s.longTailed(2), s.longTailed(60))
	j := s.add(lovagestand.ClassBatch, at, declared, runSeconds)
	j.task.Checkpoints = s.random.Float64() < 0.7
	j.task.Route = lovagestand.RouteName(fmt.Sprintf("batch%d", s.random.IntN(6)))
	if s.random.Float64() < s.load.Greedy {
		j.task.Team = "greedy"
	}
	return declared * runSeconds
}

func (s *jobGenerator) gang(at time.Duration) float64 {
	declared, runSeconds := s.declaredSizeAndRunTime(1, s.longTailed(90))
	declared = min(declared, 4)
	team := s.team()
	name := fmt.Sprintf("g%06d", len(s.jobs))
	for range s.load.GangSize {
		j := s.add(lovagestand.ClassGang, at, declared, runSeconds)
		j.task.Gang, j.task.GangSize, j.task.Team = name, s.load.GangSize, team
	}
	return declared * runSeconds * float64(s.load.GangSize)
}
