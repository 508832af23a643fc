package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// The replay runs gangs in shards in the order of their arrivals, later ones where earlier ones
// do not fit. Each shard decides on moves twice a second, by loads of other shards that are half a
// second old, and a move takes as long.

const (
	balanceShards  = 4
	balanceWorkers = 60
	balanceTick    = 100 * time.Millisecond
	// balanceArrivals is how long jobs arrive, balanceEnd when the replay ends.
	balanceArrivals = 30 * time.Second
	balanceEnd      = 90 * time.Second
)

// balancePolicy decides on the moves of a shard.
type balancePolicy func(b dispatch.Balancing) []dispatch.BalanceMove

// neverMove leaves all jobs where they have arrived.
func neverMove(dispatch.Balancing) []dispatch.BalanceMove { return nil }

// moveAll moves all waiting jobs to the emptiest shard.
func moveAll(b dispatch.Balancing) []dispatch.BalanceMove {
	emptiest := 0
	for i := range b.Others {
		if b.Others[i].Load.Use(cores(1)) < b.Others[emptiest].Load.Use(cores(1)) {
			emptiest = i
		}
	}
	var moves []dispatch.BalanceMove
	for i := range b.Jobs {
		moves = append(moves, dispatch.BalanceMove{Job: i, To: emptiest})
	}
	return moves
}

// lastFirst is the decision without regard to long waits.
func lastFirst(b dispatch.Balancing) []dispatch.BalanceMove {
	for i := range b.Jobs {
		b.Jobs[i].Waited = min(b.Jobs[i].Waited, 4*time.Second)
	}
	return dispatch.Balance(b)
}

// balanceJob is a job of the replay.
type balanceJob struct {
	arrives time.Duration
	shard   int
	step    dispatch.WaitingTasks
	runTime time.Duration
	// reaches is when the job reaches its shard, startsAt when it starts.
	reaches, startsAt time.Duration
	started           bool
	moves             int
	workers           []int
}

// balanceReplay is the state of a replay.
type balanceReplay struct {
	policy balancePolicy
	jobs   []*balanceJob
	free   [balanceShards][]lovagestand.Resources
	loads  [balanceShards]dispatch.ShardLoad
}

// replayBalance runs jobs and returns them.
func replayBalance(policy balancePolicy, jobs []balanceJob) []*balanceJob {
	r := &balanceReplay{policy: policy}
	for n := range jobs {
		j := jobs[n]
		j.reaches = j.arrives
		r.jobs = append(r.jobs, &j)
	}
	for n := range balanceShards {
		for range balanceWorkers {
			r.free[n] = append(r.free[n], cores(32))
		}
		r.loads[n] = r.load(n, 0)
	}
	for at := time.Duration(0); at < balanceEnd; at += balanceTick {
		r.end(at)
		for _, j := range r.jobs {
			if !j.started && j.reaches <= at {
				r.start(j, at)
			}
		}
		if at%(500*time.Millisecond) == 0 {
			r.balance(at)
		}
	}
	return r.jobs
}

// end releases the room of the jobs that have ended.
func (r *balanceReplay) end(at time.Duration) {
	for _, j := range r.jobs {
		if j.started && j.startsAt+j.runTime == at {
			for _, w := range j.workers {
				r.free[j.shard][w] = r.free[j.shard][w].Add(j.step.Shape.Needs)
			}
		}
	}
}

// start starts a job if all its tasks fit.
func (r *balanceReplay) start(j *balanceJob, at time.Duration) {
	free := slices.Clone(r.free[j.shard])
	var workers []int
	for w := range free {
		for len(workers) < j.step.Tasks && j.step.Shape.Needs.Fits(free[w]) {
			free[w] = free[w].Sub(j.step.Shape.Needs)
			workers = append(workers, w)
		}
	}
	if len(workers) == j.step.Tasks {
		r.free[j.shard], j.workers, j.startsAt, j.started = free, workers, at, true
	}
}

// waiting returns the jobs that wait in a shard.
func (r *balanceReplay) waiting(shard int, at time.Duration) []*balanceJob {
	var waiting []*balanceJob
	for _, j := range r.jobs {
		if j.shard == shard && !j.started && j.reaches <= at {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// load returns the load of a shard.
func (r *balanceReplay) load(shard int, at time.Duration) dispatch.ShardLoad {
	load := dispatch.ShardLoad{Capacity: cores(32).Times(balanceWorkers)}
	for _, free := range r.free[shard] {
		load.Free = load.Free.Add(free)
		load.Rooms = append(load.Rooms, dispatch.WorkerRoom{Free: free, Workers: 1})
	}
	for _, j := range r.waiting(shard, at) {
		load.Waiting = load.Waiting.Add(j.step.Shape.Needs.Times(int64(j.step.Tasks)))
	}
	return load
}

// balance lets each shard decide, by the loads of the others as of the last decision.
func (r *balanceReplay) balance(at time.Duration) {
	for shard := range balanceShards {
		b := dispatch.Balancing{Own: r.load(shard, at)}
		var numbers []int
		for n := range balanceShards {
			if n == shard {
				continue
			}
			numbers = append(numbers, n)
			b.Others = append(b.Others, dispatch.OtherShard{Name: fmt.Sprint(n), Load: r.loads[n], Age: 500 * time.Millisecond, Sent: r.arriving(n, at)})
		}
		waiting := r.waiting(shard, at)
		for _, j := range waiting {
			b.Jobs = append(b.Jobs, dispatch.WaitingJob{Steps: []dispatch.WaitingTasks{j.step}, Waited: at - j.reaches, Movable: true, AllowedShare: 0.5})
		}
		for _, m := range r.policy(b) {
			j := waiting[m.Job]
			j.shard, j.reaches = numbers[m.To], at+500*time.Millisecond
			j.moves++
		}
	}
	for n := range balanceShards {
		r.loads[n] = r.load(n, at)
	}
}

// arriving returns what is on its way to a shard.
func (r *balanceReplay) arriving(shard int, at time.Duration) []dispatch.WaitingTasks {
	var tasks []dispatch.WaitingTasks
	for _, j := range r.jobs {
		if j.moves > 0 && j.shard == shard && j.reaches > at {
			tasks = append(tasks, j.step)
		}
	}
	return tasks
}

// balanceGang returns a random gang that arrives in a shard.
func balanceGang(random *rand.Rand, at time.Duration, shard int) balanceJob {
	return balanceJob{
		arrives: at, shard: shard, runTime: 2*time.Second + time.Duration(random.IntN(30))*balanceTick,
		step: dispatch.WaitingTasks{Shape: dispatch.Shape{Needs: cores(8 + random.Int64N(8))}, Tasks: 4 + random.IntN(24)},
	}
}

// oneSidedArrivals returns gangs that arrive after each other, four of five in the first shard
// and the others in the second and the third.
func oneSidedArrivals(interval time.Duration) func(random *rand.Rand) []balanceJob {
	return func(random *rand.Rand) []balanceJob {
		var jobs []balanceJob
		for at := time.Duration(0); at < balanceArrivals; at += interval {
			shard := 0
			if random.Float64() > 0.8 {
				shard = 1 + random.IntN(2)
			}
			jobs = append(jobs, balanceGang(random, at, shard))
		}
		return jobs
	}
}

// burstArrivals returns gangs that arrive in the first shard at the same time.
func burstArrivals(random *rand.Rand) []balanceJob {
	var jobs []balanceJob
	for range 60 {
		jobs = append(jobs, balanceGang(random, 0, 0))
	}
	return jobs
}

// balanceSummary describes the outcome of a replay.
type balanceSummary struct {
	moves, movedTwice int
	longest, total    time.Duration
}

func summarizeBalance(jobs []*balanceJob) balanceSummary {
	var s balanceSummary
	for _, j := range jobs {
		wait := balanceEnd - j.arrives
		if j.started {
			wait = j.startsAt - j.arrives
		}
		s.longest, s.total = max(s.longest, wait), s.total+wait
		s.moves += j.moves
		if j.moves > 1 {
			s.movedTwice++
		}
	}
	return s
}

// TestBalanceOfUnevenLoads replays shards with more gangs than they can run beside shards with
// idle workers. The decision is compared with those that never move a job, move all that wait, and
// start at the end of the queue however long others have waited.
func TestBalanceOfUnevenLoads(t *testing.T) {
	for name, test := range map[string]struct {
		arrivals func(random *rand.Rand) []balanceJob
		// fewerMoves is the least factor between the moves of all jobs and those of the
		// decision, longest the bound on the wait of a job.
		fewerMoves int
		longest    time.Duration
	}{
		"three quarters of the capacity": {oneSidedArrivals(110 * time.Millisecond), 1, 10 * time.Second},
		"all of the capacity":            {oneSidedArrivals(80 * time.Millisecond), 5, 25 * time.Second},
		"burst":                          {burstArrivals, 3, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
					c := qt.New(t)
					jobs := test.arrivals(rand.New(rand.NewPCG(seed, 1)))
					balanced, never := summarizeBalance(replayBalance(dispatch.Balance, jobs)), summarizeBalance(replayBalance(neverMove, jobs))
					all, last := summarizeBalance(replayBalance(moveAll, jobs)), summarizeBalance(replayBalance(lastFirst, jobs))
					c.Logf("balanced: %v; never: %v; all: %v; last first: %v", balanced, never, all, last)
					c.Check(balanced.longest < test.longest, qt.IsTrue)
					c.Check(2*balanced.longest < never.longest, qt.IsTrue)
					c.Check(2*balanced.total < never.total, qt.IsTrue)
					c.Check(test.fewerMoves*balanced.moves < all.moves, qt.IsTrue)
					c.Check(balanced.longest <= last.longest, qt.IsTrue)
					c.Check(balanced.movedTwice*20 <= len(jobs), qt.IsTrue)
				})
			}
		})
	}
}
