package shard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// BenchmarkPassWithAdvice measures a pass under the overload of docs/design/iteration.md,
// part 2: 1,500 live jobs, of which 1,000 wait on routes with advice, and workers that are
// about 75% full. What a pass changes is undone before the next one.
func BenchmarkPassWithAdvice(b *testing.B) {
	for _, c := range []struct{ workers, teams int }{{350, 20}, {350, 0}, {350, 380}, {48, 20}, {1900, 20}} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", c.workers, c.teams), func(b *testing.B) {
			s := overloadedShard(c.workers, c.teams)
			defer s.cancel()
			calls, starts := 0, 0
			for b.Loop() {
				begun := time.Now()
				s.plan()
				b.StopTimer()
				calls, starts = undoPass(s, begun)
				b.StartTimer()
			}
			b.ReportMetric(float64(calls), "calls")
			b.ReportMetric(float64(starts), "starts")
		})
	}
}

// gate keeps orders and advice calls unanswered until the pass has been undone, so that
// only passes are measured.
type gate struct {
	lovagestand.Fleet
	opened chan struct{}
}

func (g *gate) Start(_ context.Context, _ lovagestand.FleetWorker, _ lovagestand.Order) (lovagestand.WorkerClock, error) {
	<-g.opened
	return lovagestand.WorkerClock{}, &lovagestand.UnavailableError{Unsent: true}
}

func (g *gate) Stop(context.Context, lovagestand.FleetWorker, string, int64, lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	<-g.opened
	return lovagestand.WorkerClock{}, &lovagestand.OrderRefusedError{Reason: lovagestand.RefusalStaleRun}
}

func (g *gate) advise(context.Context, string, []lovagestand.WorkerName) (lovagestand.Advice, error) {
	<-g.opened
	return lovagestand.Advice{}, &lovagestand.UnavailableError{}
}

// overloadedShard returns the shard that [BenchmarkPassWithAdvice] measures.
func overloadedShard(workerCount, teams int) *Shard {
	random := rand.New(rand.NewPCG(uint64(workerCount), uint64(teams)))
	policies := Teams{Enabled: teams > 0, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{}}
	for i := range teams {
		name := lovagestand.TeamName(fmt.Sprintf("t%d", i))
		policy := lovagestand.TeamPolicy{Team: name, Weight: 1 / float64(i+1)}
		if i%4 == 0 {
			policy.Quota = &lovagestand.Resources{MilliCPU: 600_000, MemoryMiB: 2_000_000, Accelerators: 1000}
		}
		policies.Policies[name] = policy
	}
	g := &gate{opened: make(chan struct{})}
	var clients []AdviceClient
	for i := range 10 {
		clients = append(clients, AdviceClient{Instance: lovagestand.InstanceID(fmt.Sprint("i", i)), SameRegion: i%2 == 0, Advise: g.advise})
	}
	s := New(jobstore.Term{Shard: "0", Epoch: 1}, Limits{MaxLease: 8 * time.Second, Preemption: true}, Deps{
		Log: zerolog.Nop(), Recorder: lovagestand.NoRecorder{}, Assured: func() bool { return true }, Confirmed: func() bool { return true }, Fleet: g,
		AdviceClients: func() []AdviceClient { return clients }, Teams: func() (Teams, bool) { return policies, true },
	})
	s.resolved = true
	now := time.Now()
	var workers []*worker
	for i := range workerCount {
		info := lovagestand.FleetWorker{
			WorkerIncarnation: lovagestand.WorkerIncarnation{Name: lovagestand.WorkerName(fmt.Sprintf("w%04d", i))}, Ready: true, Rack: lovagestand.RackName(fmt.Sprintf("r%d", i/20)),
			Capacity: lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 64000},
		}
		w := &worker{
			info: info, free: info.Capacity, placements: map[string]*placement{}, strays: map[string]int64{}, cancel: func() {}, listed: true, enrolled: true, contacted: true,
			lastAnswer: now.Add(time.Hour), health: health{slowness: 0.7 + 0.6*random.Float64()},
		}
		s.workers[info.Name] = w
		workers = append(workers, w)
	}
	var running []*jobEntry
	for n := range 1500 {
		e := overloadJob(n, teams, random, now)
		s.jobs[e.id], s.live[e.id] = e, e
		s.estimateWork(e)
		if n%3 == 0 {
			running = append(running, e)
			continue
		}
		if st := e.step(job.StepRef{}); n%9 > 2 {
			st.advised = true
			for _, i := range random.Perm(workerCount)[:min(workerCount, 96)] {
				st.decided[workers[i]] = true
				if random.IntN(2) == 0 {
					until := now.Add(-time.Hour)
					if random.IntN(16) == 0 {
						until = now.Add(time.Hour)
					}
					st.setTicket(workers[i], ticket{value: "t", until: until})
				}
			}
		}
	}
	fillWorkers(s, workers, running, random, now)
	return s
}

// overloadJob returns a job of one of three routes: gangs, urgent steps and wide steps of
// batch jobs.
func overloadJob(n, teams int, random *rand.Rand, now time.Time) *jobEntry {
	j := job.Job{ID: job.ID(fmt.Sprintf("%016x", random.Uint64())), Policy: job.Policy{
		MaxAttempts: 3, Stretch: 3, Target: time.Hour, Advice: job.AdvicePolicy{FixedDuration: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2500 * time.Millisecond},
	}}
	step := job.Step{Count: 1 + random.IntN(24), Estimate: time.Duration(500+random.IntN(3000)) * time.Millisecond, Checkpoints: true}
	switch random.IntN(3) {
	case 0:
		j.Policy.Route, j.Policy.Priority = "gangs", 1
		step.Gang, step.Needs = true, lovagestand.Resources{MilliCPU: 4000 + 500*random.Int64N(8), MemoryMiB: 6000}
	case 1:
		j.Policy.Route, j.Policy.Priority = "urgent", 0
		step.Count, step.Needs = 1+random.IntN(4), lovagestand.Resources{MilliCPU: 2000 + 500*random.Int64N(4), MemoryMiB: 4000}
	default:
		j.Policy.Route, j.Policy.Priority = "batch", 2
		step.Needs = lovagestand.Resources{MilliCPU: 3500 + 500*random.Int64N(6), MemoryMiB: 4000}
	}
	j.Steps = []job.Step{step}
	for i := range random.IntN(3) {
		next := step
		next.After = []int{i}
		j.Steps = append(j.Steps, next)
	}
	if teams > 0 {
		j.Team = lovagestand.TeamName(fmt.Sprintf("t%d", n%teams))
	}
	e := newJobEntry(job.New(j, now.Add(-time.Duration(random.IntN(5000))*time.Millisecond)), nil)
	e.durable = true
	return e
}

// fillWorkers places all tasks of running jobs, so that no worker has more than a quarter of
// its processors free for long.
func fillWorkers(s *Shard, workers []*worker, running []*jobEntry, random *rand.Rand, now time.Time) {
	next := 0
	for _, e := range running {
		step := &e.progress.Job().Steps[0]
		tasks := max(1, len(workers)*4/len(running))
		step.Count, step.Gang = tasks, false
		*e = *newJobEntry(job.New(e.progress.Job(), e.progress.Accepted()), nil)
		e.durable = true
		s.estimateWork(e)
		for i := range tasks {
			w := workers[next%len(workers)]
			for tries := 0; w.free.MilliCPU < 3500 && tries < 20; tries++ {
				w = workers[random.IntN(len(workers))]
			}
			next++
			task := job.Task{Index: i}
			if !e.progress.Start(task, 1) {
				panic("task cannot start")
			}
			p := &placement{
				entry: e, task: task, name: e.progress.Job().TaskName(task), run: 1, needs: step.Needs, worker: w, started: true,
				placedAt: now.Add(-time.Duration(random.IntN(1000)) * time.Millisecond), settledAt: now, checkpointAt: now, expectedRunTime: time.Minute + time.Duration(random.IntN(60000))*time.Millisecond,
			}
			if w.free.MilliCPU < p.needs.MilliCPU {
				p.needs = lovagestand.Resources{MilliCPU: max(0, w.free.MilliCPU/2), MemoryMiB: 1000}
			}
			s.reserveRoom(p)
			s.activate(p)
		}
	}
}

// undoPass undoes what a pass has changed, and returns how many advice calls and starts it
// has decided on.
func undoPass(s *Shard, begun time.Time) (calls, starts int) {
	s.mu.Lock()
	clear(s.adviceSlots)
	for _, e := range s.live {
		for _, st := range e.steps {
			if len(st.pendingRequests) > 0 {
				calls++
			}
			clear(st.pendingRequests)
			st.held, st.heldUntil = nil, time.Time{}
			st.preemptions = 0
		}
		for _, p := range e.active {
			if p.stopRequested {
				p.stopRequested, p.preemptedAt, p.worker.runs = false, time.Time{}, nil
			}
			if !p.placedAt.Before(begun) {
				starts++
				p.stopRequested = true
				s.releaseRoom(p)
				e.progress.Requeue(p.task, p.run, "")
			}
		}
	}
	s.kept = nil
	g := s.deps.Fleet.(*gate)
	close(g.opened)
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	g.opened = make(chan struct{})
	s.mu.Unlock()
	return calls, starts
}
