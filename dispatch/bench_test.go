package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lovagestand.example/lovagestand/dispatch"
)

// overload returns the load of a shard whose workers are nearly full and in which 250
// steps wait: three in four for their first advice, the others for room on the workers
// that policy allows, with expired tickets.
func overload(random *rand.Rand) dispatch.Load {
	l := dispatch.Load{Now: now, AdviceCalls: 90, IdleAdviceClients: 4, Workers: emptyWorkers(350)}
	releases := make([][]dispatch.Release, len(l.Workers))
	for i := range l.Workers {
		l.Workers[i].Free = cores(random.Int64N(6))
		for n := range 8 {
			releases[i] = append(releases[i], dispatch.Release{At: now.Add(time.Duration(n)*300*time.Millisecond + time.Duration(random.Int64N(1e8))), Frees: cores(3)})
		}
	}
	l.Releases = func(i int) []dispatch.Release { return releases[i] }
	for n := range 250 {
		s := dispatch.Step{
			Tasks: 1 + random.IntN(25), Needs: cores(2 + random.Int64N(4)), Gang: random.IntN(3) == 0, NeedsTickets: true, AllowedShare: 0.4,
			RunTime: time.Duration(500+random.IntN(3500)) * time.Millisecond, Score: random.Float64(), Seed: uint64(n),
		}
		if n%4 == 0 {
			for i := range l.Workers {
				if random.IntN(3) == 0 {
					s.Candidates = append(s.Candidates, dispatch.Candidate{Worker: i, HasTicket: random.IntN(4) == 0})
				}
			}
			s.AdviceKnown = func(worker int) bool { return worker%2 == 0 }
		}
		l.Steps = append(l.Steps, s)
	}
	return l
}

func BenchmarkPlanUnderOverload(b *testing.B) {
	loads := make([]dispatch.Load, 8)
	for b.Loop() {
		b.StopTimer()
		for i := range loads {
			loads[i] = overload(rand.New(rand.NewPCG(uint64(i), 1)))
		}
		b.StartTimer()
		for i := range loads {
			dispatch.Plan(loads[i])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(loads)), "µs/pass")
}
