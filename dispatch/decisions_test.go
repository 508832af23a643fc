package dispatch_test

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

var recordDecisions = flag.Bool("recordDecisions", false, "record the decisions on random loads anew")

const (
	recordedDecisions = "testdata/decisions.txt"
	// recordedOn is the architecture on which the decisions were recorded.
	recordedOn = "arm64"
)

// TestRecordedDecisions guards against a change of a decision by a faster implementation.
// The decisions were recorded on the code before passes were made cheaper. A change that is
// meant to change decisions records them anew with -recordDecisions, on arm64. The compiler
// fuses floating-point operations there, so that decisions between nearly equal costs may
// differ on other architectures; the test compares on arm64 only.
func TestRecordedDecisions(t *testing.T) {
	c := qt.New(t)
	if runtime.GOARCH != recordedOn {
		t.Skipf("decisions were recorded on %s; those between nearly equal costs may differ on %s", recordedOn, runtime.GOARCH)
	}
	var lines []string
	for seed := range uint64(400) {
		lines = append(lines, decisionsOn(rand.New(rand.NewPCG(seed, 3)), seed%2 == 0))
	}
	if *recordDecisions {
		c.Assert(os.WriteFile(recordedDecisions, []byte(strings.Join(lines, "\n")+"\n"), 0o644), qt.IsNil)
	}
	file, err := os.Open(recordedDecisions)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	recorded := bufio.NewScanner(file)
	for seed, line := range lines {
		c.Assert(recorded.Scan(), qt.IsTrue)
		c.Check(line, qt.Equals, recorded.Text(), qt.Commentf("seed %d", seed))
	}
}

// decisionsOn returns a digest of the decisions on a random load, and of what [Plan] leaves
// of workers and quotas. It begins with the number of decisions of each kind.
func decisionsOn(random *rand.Rand, withTeams bool) string {
	l, runs := randomLoad(random, withTeams)
	decisions := dispatch.Plan(l)
	text := &strings.Builder{}
	starts, calls, waits := 0, 0, 0
	for _, d := range decisions {
		fmt.Fprintln(text, d.Step, d.Workers, d.AdviceFor, d.IfIdle, d.Hold, d.Wait.Tasks, d.Wait.Until.Sub(now), d.Wait.Saves)
		starts += len(d.Workers)
		if len(d.AdviceFor) > 0 {
			calls++
		}
		waits += d.Wait.Tasks
	}
	for i := range l.Workers {
		fmt.Fprintln(text, l.Workers[i].Free)
	}
	stops := dispatch.Preempt(dispatch.PreemptionLoad{
		Load: l, Decisions: decisions, Runs: func(worker int) []dispatch.Run { return runs[worker] },
		StopTime: 300 * time.Millisecond, RestoreDelay: 100 * time.Millisecond, CheckpointInterval: time.Second, MaxStops: 20,
	})
	for _, s := range stops {
		fmt.Fprintln(text, s.Step, s.Worker, s.Drop, s.Stops, s.AdviceFor)
	}
	for i := range l.Steps {
		if team := l.Steps[i].Team; team != nil && team.Headroom != nil {
			fmt.Fprintln(text, *team.Headroom, team.HeldTasks)
		}
	}
	hash := fnv.New64a()
	hash.Write([]byte(text.String()))
	return fmt.Sprintf("starts=%d calls=%d waits=%d preemptions=%d digest=%016x", starts, calls, waits, len(stops), hash.Sum64())
}

// randomLoad returns a load with every kind of step, and the runs on each worker.
func randomLoad(random *rand.Rand, withTeams bool) (dispatch.Load, [][]dispatch.Run) {
	chance := func(n int) bool { return random.IntN(n) == 0 }
	millis := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	l := dispatch.Load{Now: now, AdviceCalls: random.IntN(40), LongAdviceCalls: random.IntN(5), IdleAdviceClients: random.IntN(5), HoldRenewals: withTeams}
	if withTeams {
		l.ExpiredHeadroom = 0.2
	}
	count := 1 + random.IntN(60)
	releases := make([][]dispatch.Release, count)
	runs := make([][]dispatch.Run, count)
	id := 0
	for i := range count {
		w := dispatch.Worker{
			Service: fmt.Sprint("s", random.IntN(2)), Rack: lovagestand.RackName(fmt.Sprint("r", random.IntN(5))), Capacity: lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 64000},
			Open: !chance(10), Slowness: 0.5 + random.Float64(), Quiet: chance(2),
		}
		if chance(3) {
			w.Labels = []string{"fast"}
		}
		w.OnTrial = !w.Open && chance(2)
		w.Free = w.Capacity
		at := time.Duration(0)
		for range random.IntN(7) {
			needs := cores(1 + random.Int64N(5))
			if !needs.Fits(w.Free) {
				continue
			}
			w.Free = w.Free.Sub(needs)
			at += millis(1500)
			releases[i] = append(releases[i], dispatch.Release{At: now.Add(at), Spread: millis(500), Frees: needs})
			runs[i] = append(runs[i], dispatch.Run{
				ID: id, Needs: needs, Work: randomWork(random), Tier: random.IntN(3), Checkpoints: !chance(4), Starting: chance(10), Stopping: chance(20), Resumed: chance(5),
				Worked: millis(3000), SinceCheckpoint: millis(1000), End: now.Add(at),
			})
			id++
		}
		l.Workers = append(l.Workers, w)
	}
	l.Releases = func(i int) []dispatch.Release { return releases[i] }
	var teams []*dispatch.Team
	for range 4 {
		t := &dispatch.Team{Releases: func() []dispatch.Release { return releases[0] }}
		if chance(2) {
			headroom := lovagestand.Resources{MilliCPU: random.Int64N(200_000) - 10_000, MemoryMiB: 1_000_000, Accelerators: 100}
			t.Headroom = &headroom
		}
		teams = append(teams, t)
	}
	for n := range 1 + random.IntN(80) {
		s := recordedStep(random, count, n)
		if withTeams && !chance(5) {
			s.Team = teams[random.IntN(len(teams))]
		}
		if !withTeams {
			s.Locality, s.Kept, s.Tier = nil, nil, 0
		}
		l.Steps = append(l.Steps, s)
	}
	return l, runs
}

// recordedStep returns the step of a load with a number of workers.
func recordedStep(random *rand.Rand, workers, seed int) dispatch.Step {
	chance := func(n int) bool { return random.IntN(n) == 0 }
	work := randomWork(random)
	s := dispatch.Step{
		Tasks: 1 + random.IntN(20), Needs: cores(1 + random.Int64N(6)), Gang: chance(3), NeedsTickets: !chance(4), AllowedShare: random.Float64(), RenewAhead: 200 * time.Millisecond,
		RunTime: time.Duration(100+random.IntN(4000)) * time.Millisecond, Tier: random.IntN(3), Score: float64(random.IntN(50)) / 10, Seed: uint64(seed) * 7919, Work: work,
		LongAdvice: chance(4), Expired: work.Expired(), Avoid: map[int]bool{},
	}
	s.SameRack = s.Gang && chance(3)
	if chance(4) {
		s.Service = "s0"
	}
	if chance(6) {
		s.Label = "fast"
	}
	if chance(3) {
		s.Affinity = lovagestand.RackName(fmt.Sprint("r", random.IntN(5)))
	}
	if (s.Affinity != "" || s.SameRack) && !chance(4) {
		s.Locality = &dispatch.Locality{Factor: dispatch.FarFactor{Value: 1 + random.Float64(), Spread: 0.1}, Work: work, Active: chance(2)}
	}
	if chance(5) {
		s.MaxPerWorker = 1 + random.IntN(2)
		s.Placed = map[int]int{random.IntN(workers): 1}
	}
	if chance(10) {
		s.Suspects = 1 + random.IntN(s.Tasks)
		s.Locality = nil
	}
	if chance(4) {
		s.AdvicePending = map[int]bool{random.IntN(workers): true, random.IntN(workers): true}
	}
	if s.NeedsTickets && !chance(3) {
		known := map[int]bool{}
		s.Candidates = []dispatch.Candidate{}
		for i := range workers {
			known[i] = chance(2)
			if known[i] && !chance(3) {
				s.Candidates = append(s.Candidates, dispatch.Candidate{Worker: i, HasTicket: chance(2), TicketUntil: now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)})
			}
		}
		s.AdviceKnown = func(worker int) bool { return known[worker] }
	}
	for range random.IntN(3) {
		s.Avoid[random.IntN(workers)] = true
	}
	if s.Gang && chance(4) {
		s.HeldUntil = now.Add(500 * time.Millisecond)
		for range s.Tasks {
			s.Held = append(s.Held, random.IntN(workers))
		}
	}
	if s.Suspects == 0 && chance(10) {
		s.Kept = map[int]int{random.IntN(workers): 1}
	}
	return s
}

// randomWork returns the work of a job that is early, late or expired.
func randomWork(random *rand.Rand) dispatch.Work {
	objective := time.Duration(500+random.IntN(8000)) * time.Millisecond
	return dispatch.Work{
		Priority: random.IntN(3), Age: time.Duration(random.IntN(12000)) * time.Millisecond, Objective: objective, LatestObjective: objective * 3 / 2,
		CriticalPath: time.Duration(random.IntN(3000)) * time.Millisecond, Total: 10 * time.Second, Remaining: time.Duration(1+random.IntN(10)) * time.Second, Mean: 8 * time.Second,
	}
}
