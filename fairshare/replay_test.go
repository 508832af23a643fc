package fairshare_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/fairshare"
)

// shape is a route of the load.
type shape struct {
	perSecond, steps  float64
	tasks             int
	run               time.Duration
	needs             lovagestand.Resources
	gangShare         float64
	stretch           float64
	target            time.Duration
	value             float64
	priority          int
	coreSecondsPerJob float64
}

// shapes are the routes of customer P in docs/design/demand.md.
func shapes() []shape {
	list := []shape{
		{perSecond: 75.1, steps: 1, tasks: 3, run: 800 * time.Millisecond, needs: lovagestand.Resources{MilliCPU: 2500}, gangShare: 0.3, stretch: 1.5, target: 500 * time.Millisecond, value: 0.401},
		{perSecond: 4.04, steps: 1.2, tasks: 20, run: 4 * time.Second, needs: lovagestand.Resources{MilliCPU: 4500}, gangShare: 1, stretch: 2.2, target: 1200 * time.Millisecond, value: 8.53, priority: 1},
		{perSecond: 9.34, steps: 1.5, tasks: 25, run: 3400 * time.Millisecond, needs: lovagestand.Resources{MilliCPU: 1700}, stretch: 4, target: 3 * time.Second, value: 3.99, priority: 2},
	}
	for i, s := range list {
		list[i].coreSecondsPerJob = s.steps * float64(s.tasks) * s.run.Seconds() * float64(s.needs.MilliCPU) / 1000
	}
	return list
}

const (
	replayTeams = 20
	// The hot team sends hotFactor times its usual load from hotFrom to hotUntil.
	hotFactor = 7.5
	hotFrom   = 10 * time.Second
	hotUntil  = 16 * time.Second
	// Jobs that arrive until measuredUntil count, so that the backlog of the hot team
	// does.
	measuredUntil = 24 * time.Second
	replayEnd     = 60 * time.Second
	tick          = 20 * time.Millisecond
)

// cluster is the capacity of 350 workers of 16 cores, as one pool.
var cluster = cores(350 * 16)

// replayJob is a job of the load. Its steps run one after the other.
type replayJob struct {
	arrival          time.Duration
	team, shape      int
	steps            int
	gang, extra      bool
	runTime          time.Duration
	estimate         time.Duration
	waiting, running int
	step             int
	end              time.Duration
}

func weightOf(team int) float64 { return 1 / float64(team+1) }

// arrivals draws a load that takes a fraction of the capacity. Teams send in proportion
// to their weights. The extra jobs of the hot team are drawn apart, so that the other
// jobs are the same without them.
func arrivals(seed uint64, fraction float64, hotTeam int) []*replayJob {
	weights := 0.0
	for i := range replayTeams {
		weights += weightOf(i)
	}
	usual, extra := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	list := shapes()
	demand := 0.0
	for _, s := range list {
		demand += s.perSecond * s.coreSecondsPerJob
	}
	scale := fraction * float64(cluster.MilliCPU) / 1000 / demand
	var jobs []*replayJob
	add := func(r *rand.Rand, team, k int, perSecond float64, from, until time.Duration, extra bool) {
		s := list[k]
		for at := from; ; {
			at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
			if at >= until {
				return
			}
			j := &replayJob{arrival: at, team: team, shape: k, steps: 1, gang: r.Float64() < s.gangShare, extra: extra}
			if r.Float64() < s.steps-1 {
				j.steps = 2
			}
			j.runTime = time.Duration(float64(s.run) * (0.5 + r.Float64()))
			j.estimate = time.Duration(float64(j.runTime) * (0.1 + 1.8*r.Float64()))
			j.waiting = s.tasks
			jobs = append(jobs, j)
		}
	}
	for team := range replayTeams {
		for k, s := range list {
			perSecond := s.perSecond * scale * weightOf(team) / weights
			add(usual, team, k, perSecond, 0, measuredUntil, false)
			if team == hotTeam {
				add(extra, team, k, (hotFactor-1)*perSecond, hotFrom, hotUntil, true)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(a.arrival, b.arrival) })
	return jobs
}

// replay runs a load on a pool and returns the fraction of its value that each team
// earns with the jobs that arrive from hotFrom on, without the extra jobs.
func replay(jobs []*replayJob, bounds fairshare.Bounds) []float64 {
	r := &pool{free: cluster, used: make([]lovagestand.Resources, replayTeams), bounds: bounds}
	for now := time.Duration(0); now < replayEnd; now += tick {
		for len(jobs) > r.arrived && jobs[r.arrived].arrival <= now {
			r.live = append(r.live, jobs[r.arrived])
			r.arrived++
		}
		r.endTasks(now)
		r.start(now)
	}
	earned, possible := make([]float64, replayTeams), make([]float64, replayTeams)
	list := shapes()
	for _, j := range jobs {
		if j.arrival < hotFrom || j.extra {
			continue
		}
		s := list[j.shape]
		possible[j.team] += s.value
		switch took := j.end - j.arrival; {
		case j.end == 0:
		case took <= s.objective(j.runTime, j.steps):
			earned[j.team] += s.value
		case took <= 3*s.objective(j.runTime, j.steps):
			earned[j.team] += s.value / 5
		}
	}
	for i := range earned {
		earned[i] /= possible[i]
	}
	return earned
}

func (s shape) objective(run time.Duration, steps int) time.Duration {
	return time.Duration(s.stretch*float64(run)*float64(steps)) + s.target
}

// pool is the state of a replay.
type pool struct {
	free    lovagestand.Resources
	used    []lovagestand.Resources
	live    []*replayJob
	arrived int
	runs    []replayRun
	// bounds are those of the accounts; zero means the order by score alone.
	bounds fairshare.Bounds
}

// replayRun is some tasks of a job that end together.
type replayRun struct {
	job   *replayJob
	tasks int
	end   time.Duration
}

func (p *pool) endTasks(now time.Duration) {
	list := shapes()
	p.runs = slices.DeleteFunc(p.runs, func(r replayRun) bool {
		if r.end > now {
			return false
		}
		j, s := r.job, list[r.job.shape]
		amount := s.needs.Times(int64(r.tasks))
		p.free, p.used[j.team] = p.free.Add(amount), p.used[j.team].Sub(amount)
		j.running -= r.tasks
		if j.running+j.waiting == 0 {
			j.step++
			if j.step < j.steps {
				j.waiting = s.tasks
			} else {
				j.end = r.end
			}
		}
		return true
	})
	p.live = slices.DeleteFunc(p.live, func(j *replayJob) bool { return j.end > 0 })
}

// start starts waiting tasks in order until one finds no room.
func (p *pool) start(now time.Duration) {
	list := shapes()
	var waiting []*replayJob
	scores, tiers := map[*replayJob]float64{}, map[*replayJob]int{}
	for _, j := range p.live {
		if j.waiting > 0 {
			waiting = append(waiting, j)
			scores[j] = list[j.shape].score(j, now)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *replayJob) int { return cmp.Compare(scores[b], scores[a]) })
	if (p.bounds != fairshare.Bounds{}) {
		p.assignTiers(waiting, tiers)
	}
	slices.SortStableFunc(waiting, func(a, b *replayJob) int { return cmp.Compare(tiers[a], tiers[b]) })
	for _, j := range waiting {
		s := list[j.shape]
		n := min(j.waiting, int(p.free.MilliCPU/s.needs.MilliCPU))
		if n < j.waiting && j.gang {
			return
		}
		if n > 0 {
			amount := s.needs.Times(int64(n))
			p.free, p.used[j.team] = p.free.Sub(amount), p.used[j.team].Add(amount)
			j.waiting, j.running = j.waiting-n, j.running+n
			p.runs = append(p.runs, replayRun{job: j, tasks: n, end: now + j.runTime})
		}
		if j.waiting > 0 {
			return
		}
	}
}

// score is the score of a job as an owner computes it from its estimates.
func (s shape) score(j *replayJob, now time.Duration) float64 {
	core := func(tasks int) time.Duration {
		return time.Duration(float64(tasks) * float64(j.estimate) * float64(s.needs.MilliCPU) / 1000)
	}
	left := j.steps - j.step
	return dispatch.Score(dispatch.Work{
		Priority: s.priority, Age: now - j.arrival, Objective: s.objective(j.estimate, j.steps), CriticalPath: time.Duration(left) * j.estimate,
		Total: core(j.steps * s.tasks), Remaining: core((left-1)*s.tasks + j.waiting + j.running), Mean: time.Duration(s.coreSecondsPerJob * float64(time.Second)),
	})
}

func (p *pool) assignTiers(waiting []*replayJob, tiers map[*replayJob]int) {
	list := shapes()
	teams := make([]fairshare.Team, replayTeams)
	for i := range teams {
		teams[i] = fairshare.Team{Weight: weightOf(i), Used: p.used[i]}
	}
	for _, j := range waiting {
		teams[j.team].Waiting = teams[j.team].Waiting.Add(list[j.shape].needs.Times(int64(j.waiting)))
	}
	accounts := fairshare.NewAccounts(cluster, teams, p.bounds)
	for _, j := range waiting {
		tiers[j] = int(accounts[j.team].Tier(list[j.shape].needs, j.waiting, j.gang))
	}
}

// TestHotTeamTakesNothingFromOthers replays the load of customer P at 85 to 110% of the
// capacity, in which one of 20 teams sends 7.5 times its usual load for 6 s. The other
// teams should lose nothing against a run without it. What is tolerated is the time of
// tasks that run on when others need their room, since nothing is preempted here. The
// baselines are the order by score alone and a tiers that end at the entitlement.
func TestHotTeamTakesNothingFromOthers(t *testing.T) {
	const (
		tolerableMean  = 0.02
		tolerableWorst = 0.05
	)
	for _, hot := range []int{0, 2} {
		for _, load := range []float64{0.85, 0.95, 1.1} {
			t.Run(fmt.Sprintf("team=%d/load=%v", hot, load), func(t *testing.T) {
				c := qt.New(t)
				mean, worst := lossOfOthers(load, hot, fairshare.DefaultBounds)
				byScore, byScoreWorst := lossOfOthers(load, hot, fairshare.Bounds{})
				strict, strictWorst := lossOfOthers(load, hot, fairshare.Bounds{Guaranteed: 1, Shared: 1})
				t.Logf("others lose %.3f, worst %.3f; by score alone %.3f, %.3f; strict %.3f, %.3f", mean, worst, byScore, byScoreWorst, strict, strictWorst)
				c.Check(mean <= tolerableMean, qt.IsTrue, qt.Commentf("mean loss %.3f", mean))
				c.Check(worst <= tolerableWorst, qt.IsTrue, qt.Commentf("worst loss %.3f", worst))
				c.Check(mean <= max(byScore, tolerableMean), qt.IsTrue, qt.Commentf("worse than the order by score: %.3f, %.3f", mean, byScore))
			})
		}
	}
}

// lossOfOthers returns what the teams other than the hot one lose against a run by score
// without it: the mean and the largest loss as fractions of their value, over some seeds.
func lossOfOthers(load float64, hot int, bounds fairshare.Bounds) (mean, worst float64) {
	const seeds = 2
	losses := make([]float64, replayTeams)
	for seed := range uint64(seeds) {
		without, with := replay(arrivals(seed, load, -1), fairshare.Bounds{}), replay(arrivals(seed, load, hot), bounds)
		for i := range losses {
			losses[i] += (without[i] - with[i]) / seeds
		}
	}
	worst = math.Inf(-1)
	for i, l := range losses {
		if i != hot {
			mean += l / (replayTeams - 1)
			worst = max(worst, l)
		}
	}
	return mean, worst
}
