package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lovagestand.example/lovagestand"
)

// Load describes a load that is drawn with a seed, for a cell of Workers
// workers. Each worker has 32 cores and 128 GiB of memory, and every second one
// has four accelerators. There are eight workers to a rack.
type Load struct {
	Seed     uint64
	Workers  int
	Teams    int
	Duration time.Duration
	// Offered is the offered load as a fraction of all processors.
	Offered float64
	// Urgent, Service and Gang are the fractions of the offered load by class.
	// Batch tasks make up the rest.
	Urgent, Service, Gang float64
	// GangSize is how many tasks a gang has.
	GangSize int
	// DeclarationError is the largest factor by which declared sizes and run
	// times are too large or too small.
	DeclarationError float64
	// Headroom is the policy's headroom share.
	Headroom float64
	// Checkpoint is how long a preempted task takes to stop.
	Checkpoint time.Duration
	// Merged replaces the workers by a single one with their total processors
	// and memory, on which no capacity is lost to fragmentation.
	Merged bool
	// Greedy is the fraction of the batch tasks that a single team submits.
	Greedy float64
}

// StandardLoad returns the load with which the policy is measured: a full cell
// of today's size whose declarations are wrong by a factor of up to five.
func StandardLoad(seed uint64) Load {
	return Load{
		Seed: seed, Workers: 50, Teams: 38, Duration: 30 * time.Minute, Offered: 0.95,
		Urgent: 0.08, Service: 0.2, Gang: 0.1, GangSize: 64, DeclarationError: 5, Headroom: 0.02,
		Checkpoint: 400 * time.Millisecond, Greedy: 0.4,
	}
}

const (
	poolName = lovagestand.PoolName("cell")
	// coresPerWorker is the number of cores of each worker.
	coresPerWorker = 32
	// burstEvery and burstFor are the interval and the duration of the bursts
	// of urgent tasks. During a burst, urgent tasks arrive at burstFactor times
	// their nominal rate.
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

func (l Load) policy() lovagestand.PoolPolicy {
	return lovagestand.PoolPolicy{Pool: poolName, HeadroomShare: l.Headroom}
}

// jobGenerator draws the jobs of a load.
type jobGenerator struct {
	load   Load
	random *rand.Rand
	jobs   []*job
}

// jobs returns all jobs of a load.
func (l Load) jobs() []*job {
	g := &jobGenerator{load: l, random: rand.New(rand.NewPCG(l.Seed, 7))}
	cores := l.Offered * float64(l.Workers*coresPerWorker)
	g.services(cores * l.Service)
	g.generateArrivals(cores*l.Urgent, g.urgent)
	g.generateArrivals(cores*l.Gang, g.gang)
	g.generateArrivals(cores*(1-l.Urgent-l.Service-l.Gang), g.batch)
	return g.jobs
}

// declarationError draws a factor between 1/DeclarationError and
// DeclarationError whose median is 1.
func (g *jobGenerator) declarationError() float64 {
	return math.Pow(g.load.DeclarationError, 2*g.random.Float64()-1)
}

// longTailed draws from a long-tailed distribution with the given mean. The
// result is at most ten times the mean.
func (g *jobGenerator) longTailed(mean float64) float64 {
	const sigma = 1.0
	return min(mean*math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2), 10*mean)
}

// generateArrivals calls draw for arrivals until the end of the load, so that
// on average the tasks take the given number of cores. The function draw adds
// the tasks of one arrival and returns their core-seconds.
func (g *jobGenerator) generateArrivals(cores float64, draw func(at time.Duration) float64) {
	if cores <= 0 {
		return
	}
	work := 0.0
	at := time.Duration(0)
	for at < g.load.Duration {
		work += draw(at)
		at = time.Duration(work / cores * float64(time.Second))
	}
}

func (g *jobGenerator) add(class lovagestand.Class, at time.Duration, cores, seconds float64) *job {
	n := len(g.jobs)
	milli := int64(math.Ceil(cores*10)) * 100
	j := &job{
		arrival:   at,
		remaining: time.Duration(seconds * float64(time.Second)),
		task: lovagestand.Task{
			ID: lovagestand.TaskID(fmt.Sprintf("t%06d", n)), Key: lovagestand.RequestKey(fmt.Sprintf("k%06d", n)),
			Pool: poolName, Class: class, Route: lovagestand.RouteName(class), Team: g.team(),
			Resources: lovagestand.Resources{MilliCPU: milli, MemoryMiB: milli * 2},
			RunTime:   time.Duration(seconds * g.declarationError() * float64(time.Second)),
		},
	}
	g.jobs = append(g.jobs, j)
	return j
}

func (g *jobGenerator) team() lovagestand.TeamName {
	return lovagestand.TeamName(fmt.Sprintf("team%02d", g.random.IntN(g.load.Teams)))
}

// declaredSizeAndRunTime draws the declared size of a task that needs the given
// cores and seconds, and returns it with the time for which the task reserves
// it. A task that needs more than it declares is throttled to the declared
// size, so its run time grows by the ratio of the two. A task that needs less
// runs for the given time and wastes the rest.
func (g *jobGenerator) declaredSizeAndRunTime(cores, seconds float64) (declared, runSeconds float64) {
	declared = min(max(cores*g.declarationError(), 0.1), coresPerWorker/2)
	return declared, seconds * max(cores/declared, 1)
}

func (g *jobGenerator) services(cores float64) {
	for cores > 0 {
		size := 0.5 + 3*g.random.Float64()
		j := g.add(lovagestand.ClassService, 0, size, (2 * g.load.Duration).Seconds())
		j.task.Route = lovagestand.RouteName(fmt.Sprintf("service%d", g.random.IntN(12)))
		cores -= size
	}
}

// urgent draws small and short tasks, which arrive in bursts.
func (g *jobGenerator) urgent(at time.Duration) float64 {
	declared, runSeconds := g.declaredSizeAndRunTime(0.8, g.longTailed(2))
	j := g.add(lovagestand.ClassUrgent, at, declared, runSeconds)
	j.task.Idempotent = true
	work := declared * runSeconds
	normalFactor := 1 - (burstFactor-1)*burstFor.Seconds()/burstEvery.Seconds()
	if at%burstEvery < burstFor {
		return work / burstFactor
	}
	return work / normalFactor
}

func (g *jobGenerator) batch(at time.Duration) float64 {
	declared, runSeconds := g.declaredSizeAndRunTime(g.longTailed(2), g.longTailed(60))
	j := g.add(lovagestand.ClassBatch, at, declared, runSeconds)
	j.task.Checkpoints = g.random.Float64() < 0.7
	j.task.Route = lovagestand.RouteName(fmt.Sprintf("batch%d", g.random.IntN(6)))
	if g.random.Float64() < g.load.Greedy {
		j.task.Team = "greedy"
	}
	return declared * runSeconds
}

func (g *jobGenerator) gang(at time.Duration) float64 {
	declared, runSeconds := g.declaredSizeAndRunTime(1, g.longTailed(90))
	declared = min(declared, 4)
	team := g.team()
	name := fmt.Sprintf("g%06d", len(g.jobs))
	for range g.load.GangSize {
		j := g.add(lovagestand.ClassGang, at, declared, runSeconds)
		j.task.Gang, j.task.GangSize, j.task.Team = name, g.load.GangSize, team
	}
	return declared * runSeconds * float64(g.load.GangSize)
}
