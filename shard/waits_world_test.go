package shard_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/logfmt"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/runner"
)

const (
	// ticketValidity is how long a ticket is valid.
	ticketValidity = 2500 * time.Millisecond
	// longestRun is the longest run time of a task, longestCall the longest advice call.
	longestRun, longestCall = 6 * time.Second, time.Second
	// longestLoss is the time from a call that is lost to the next: the time that it should
	// have taken, its timeout after that and the pause of its client.
	longestLoss = longestCall + 1200*time.Millisecond
	// longestTurn is how long steps of higher score may go first.
	longestTurn = 5 * time.Second
	// waitBound is how long a step may wait while it could run. After its turn the workers
	// that it needs are kept for it until all that runs there has ended; then one call renews
	// its tickets, or is lost and followed by another.
	waitBound = longestTurn + longestRun + longestLoss + 2*longestCall
	// sampleInterval is the time between two looks at the steps that wait.
	sampleInterval = 250 * time.Millisecond
)

// workerSize is the capacity of the workers of a [waitsWorld].
var workerSize = lovagestand.Resources{MilliCPU: 32000, MemoryMiB: 128 << 10}

// waitsWorld is a cell whose steps need tickets. It records how long steps wait that could
// run.
type waitsWorld struct {
	*cell
	seed uint64
	// allowedShare is the share of the workers that policy allows for a step.
	allowedShare float64
	clients      int
	// losesCalls makes every fourth call for a step be lost.
	losesCalls bool
	owner      *owner
	// steps holds the steps by job, order in the order in which they were accepted. pressure
	// is the factor of the load of the streams, misuses the starts with tickets that were
	// not valid, overdue the steps that have waited for too long. All are guarded by mu.
	steps    map[string]*watchedStep
	order    []*watchedStep
	pressure float64
	misuses  []string
	overdue  []string
	// freeShare is the share of the processors that is free, averaged over the looks.
	freeShare float64
	streams   sync.WaitGroup
	ended     chan struct{}
}

// watchedStep is the only step of a job.
type watchedStep struct {
	job.Step
	id       string
	team     lovagestand.TeamName
	policy   job.Policy
	runTime  time.Duration
	accepted time.Time
	// starts is the number of starts of tasks so far.
	starts int
	// placed is how many tasks were running or done at the last look, waitsSince since when
	// no further one has started, and ableSince since when one could.
	placed                int
	waitsSince, ableSince time.Time
	// allowed holds the workers that policy allows, asked those named in calls, tickets until
	// when each ticket is valid. calls is the number of calls so far, answeredAt when the last
	// one was answered.
	allowed, asked map[lovagestand.WorkerName]bool
	tickets        map[lovagestand.WorkerName]time.Time
	calls          int
	answeredAt     time.Time
}

func newWaitsWorld(c *qt.C, seed uint64, workers, clients int, allowedShare float64) *waitsWorld {
	w := &waitsWorld{
		cell: newCell(c, 0, nil), seed: seed, allowedShare: allowedShare, clients: clients, pressure: 1,
		steps: map[string]*watchedStep{}, ended: make(chan struct{}),
	}
	w.fleet = runner.New(
		func(o lovagestand.Order) lovagestand.Resources { return w.stepOf(o.Task).Needs },
		func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			s := w.stepOf(o.Task)
			w.mu.Lock()
			defer w.mu.Unlock()
			s.starts++
			if until, err := time.Parse(time.RFC3339Nano, o.Ticket); err != nil || time.Now().After(until) {
				w.misuses = append(w.misuses, fmt.Sprintf("%s starts with ticket %q at %s", o.Task, o.Ticket, time.Now()))
			}
			return s.runTime, lovagestand.EndingDone
		},
		runner.WithGangs(func(o lovagestand.Order) int {
			if s := w.stepOf(o.Task); s.Gang {
				return s.Count
			}
			return 0
		}))
	for i := range workers {
		w.workers = append(w.workers, w.fleet.Add(lovagestand.WorkerName(fmt.Sprintf("w%03d", i)), workerSize))
	}
	if os.Getenv("EXPLORE_LOG") != "" {
		w.log = logfmt.New(os.Stdout)
	}
	return w
}

// stepOf returns the step of a task or of a step name.
func (w *waitsWorld) stepOf(name string) *watchedStep {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(name, ".")
	return w.steps[id]
}

// begin begins a term with the clients of the policy service, each of which makes one call
// at a time.
func (w *waitsWorld) begin(name string, changes ...func(*shard.Deps)) {
	var clients []shard.AdviceClient
	for i := range w.clients {
		free := make(chan struct{}, 1)
		clients = append(clients, shard.AdviceClient{
			Instance: lovagestand.InstanceID(fmt.Sprint("i", i)), SameRegion: i%2 == 0,
			Advise: func(ctx context.Context, step string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
				select {
				case free <- struct{}{}:
				case <-ctx.Done():
					return lovagestand.Advice{}, noReply(ctx)
				}
				defer func() { <-free }()
				return w.advise(ctx, w.stepOf(step), workers)
			},
		})
	}
	setClients := func(d *shard.Deps) {
		d.AdviceClients = func() []shard.AdviceClient { return clients }
	}
	o := w.beginTerm(name, append(changes, setClients)...)
	w.locked(func() { w.owner = o })
}

// currentOwner returns the owner of the shard.
func (w *waitsWorld) currentOwner() *owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner
}

// advise answers a call after the time that it takes, unless it is lost.
func (w *waitsWorld) advise(ctx context.Context, s *watchedStep, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
	lost := false
	w.locked(func() {
		s.calls++
		lost = w.losesCalls && s.calls%4 == 2
	})
	if lost || !pause.For(ctx, s.policy.Advice.Cost(len(workers))) {
		return lovagestand.Advice{}, noReply(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.answeredAt = time.Now()
	answer := lovagestand.Advice{Validity: ticketValidity}
	for _, name := range workers {
		s.asked[name] = true
		if s.allowed[name] {
			s.tickets[name] = time.Now().Add(ticketValidity)
			answer.Tickets = append(answer.Tickets, lovagestand.Ticket{Worker: name, Value: s.tickets[name].Format(time.RFC3339Nano)})
		}
	}
	return answer, nil
}

// submit submits a job with one step.
func (w *waitsWorld) submit(id string, s *watchedStep) {
	s.id, s.allowed, s.asked, s.tickets = id, map[lovagestand.WorkerName]bool{}, map[lovagestand.WorkerName]bool{}, map[lovagestand.WorkerName]time.Time{}
	for _, worker := range w.list() {
		hash := fnv.New32a()
		_, _ = fmt.Fprint(hash, worker.Name, "/", s.id)
		if float64(hash.Sum32()%1009) < w.allowedShare*1009 {
			s.allowed[worker.Name] = true
		}
	}
	w.locked(func() { w.steps[s.id] = s })
	j := job.Job{ID: job.ID(s.id), Team: s.team, Policy: s.policy, Steps: []job.Step{s.Step}}
	body, err := job.EncodeJob(j)
	w.c.Assert(err, qt.IsNil)
	for w.currentOwner().Submit(context.Background(), j, body, 0) != nil {
		time.Sleep(100 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.accepted = time.Now()
	s.waitsSince, s.ableSince = s.accepted, s.accepted
	w.order = append(w.order, s)
}

// stream submits steps that keep a share of the processors in use, until the end. Streams have
// different numbers from 1.
func (w *waitsWorld) stream(number int, share float64, draw func(*rand.Rand) *watchedStep) {
	r := rand.New(rand.NewPCG(w.seed, uint64(number)))
	capacity := share * float64(len(w.workers)) * float64(workerSize.MilliCPU)
	w.streams.Go(func() {
		for n := 0; ; n++ {
			s := draw(r)
			w.submit(id(number<<32+n), s)
			interval := float64(s.Count) * float64(s.Needs.MilliCPU) * float64(s.runTime) / capacity * (0.5 + r.Float64())
			w.locked(func() { interval /= w.pressure })
			select {
			case <-w.ended:
				return
			case <-time.After(time.Duration(interval)):
			}
		}
	})
}

// locked calls a function while it holds mu.
func (w *waitsWorld) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// stop ends the streams and the owner.
func (w *waitsWorld) stop() {
	close(w.ended)
	w.streams.Wait()
	w.owner.stop()
}

// free returns the free resources of the workers.
func (w *waitsWorld) free() (byWorker map[lovagestand.WorkerName]lovagestand.Resources, share float64) {
	byWorker = map[lovagestand.WorkerName]lovagestand.Resources{}
	for _, worker := range w.list() {
		byWorker[worker.Name] = worker.Capacity
	}
	used := int64(0)
	for _, r := range w.fleet.Runs() {
		if r.Ended.IsZero() {
			needs := w.stepOf(r.Task).Needs
			byWorker[r.Worker] = byWorker[r.Worker].Sub(needs)
			used += needs.MilliCPU
		}
	}
	return byWorker, 1 - float64(used)/float64(workerSize.MilliCPU*int64(len(byWorker)))
}

// placed returns how many tasks of each job are running or done.
func (w *waitsWorld) placed() map[string]int {
	tasks := map[string]bool{}
	for _, r := range w.fleet.Runs() {
		tasks[r.Task] = tasks[r.Task] || r.Ended.IsZero() || r.Ending == lovagestand.EndingDone
	}
	placed := map[string]int{}
	for task, is := range tasks {
		if is {
			placed[task[:len(id(0))]]++
		}
	}
	return placed
}

// perWorker returns how many tasks of a step a worker holds.
func (s *watchedStep) perWorker() int { return int(workerSize.MilliCPU / s.Needs.MilliCPU) }

// fitsTwice reports whether the workers that policy allows for a step hold all of its tasks
// twice.
func (s *watchedStep) fitsTwice() bool { return len(s.allowed)*s.perWorker() >= 2*s.Count }

// describe returns what a step waits for, given the free resources; the caller holds mu.
func (w *waitsWorld) describe(s *watchedStep, free map[lovagestand.WorkerName]lovagestand.Resources, share float64) string {
	room, valid := 0, 0
	for name, f := range free {
		if s.allowed[name] {
			room += int(f.MilliCPU / s.Needs.MilliCPU)
		}
		if s.tickets[name].After(time.Now()) {
			valid++
		}
	}
	return fmt.Sprintf("%s: %d tasks, gang %t, needs %d workers of %d allowed; %d starts; asked %d, tickets valid %d, calls %d, the last answer %s ago; room for %d tasks, %.2f of the processors free; accepted %s ago",
		s.id, s.Count, s.Gang, (s.Count+s.perWorker()-1)/s.perWorker(), len(s.allowed), s.starts, len(s.asked), valid, s.calls, time.Since(s.answeredAt), room, share, time.Since(s.accepted))
}
