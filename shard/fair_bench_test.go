package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

const benchWorkers = 350

// BenchmarkPass measures a pass over 350 full workers and 1,000 waiting jobs of equal
// size. No task can be placed, so that all passes are equal.
func BenchmarkPass(b *testing.B) {
	for _, teams := range []int{0, 20, 380} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := fullShard(teams)
			if open := s.Status().OpenWorkers; open != benchWorkers {
				b.Fatalf("%d workers are open", open)
			}
			for b.Loop() {
				s.plan()
			}
		})
	}
}

// fullShard returns a shard all of whose workers are full.
func fullShard(teams int) *Shard {
	policies := Teams{Enabled: teams > 0, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{}}
	for i := range teams {
		name := lovagestand.TeamName(fmt.Sprintf("t%d", i))
		policies.Policies[name] = lovagestand.TeamPolicy{Team: name, Weight: 1 / float64(i+1)}
	}
	s := New(jobstore.Term{Shard: "0"}, Limits{MaxLease: 6 * time.Second, HeartbeatTimeout: time.Hour}, Deps{
		Log: zerolog.Nop(), Recorder: lovagestand.NoRecorder{}, Assured: func() bool { return true }, Confirmed: func() bool { return true },
		AdviceClients: func() []AdviceClient { return nil }, Teams: func() (Teams, bool) { return policies, true },
	})
	needs := lovagestand.Resources{MilliCPU: 1700, MemoryMiB: 2000}
	now := time.Now()
	for i := range benchWorkers {
		info := lovagestand.FleetWorker{WorkerIncarnation: lovagestand.WorkerIncarnation{Name: lovagestand.WorkerName(fmt.Sprintf("w%03d", i))}, Ready: true, Rack: lovagestand.RackName(fmt.Sprintf("r%d", i/20)), Capacity: lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 32000}}
		w := &worker{info: info, free: info.Capacity, placements: map[string]*placement{}, listed: true, enrolled: true, contacted: true, lastAnswer: now.Add(time.Hour)}
		s.workers[info.Name] = w
		for n := range 9 {
			e := benchJob(i*9+n, teams, needs)
			s.reserveRoom(&placement{entry: e, name: fmt.Sprint("run-", n), needs: needs, worker: w, placedAt: now, expectedRunTime: time.Hour})
		}
	}
	for i := range 1000 {
		e := benchJob(i, teams, needs)
		e.durable = true
		s.estimateWork(e)
		s.live[e.id] = e
	}
	return s
}

func benchJob(i, teams int, needs lovagestand.Resources) *jobEntry {
	j := job.Job{ID: job.ID(fmt.Sprintf("%016x", i)), Policy: job.Policy{Route: "dispense-plan", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second}, Steps: []job.Step{{Count: 20, Needs: needs, Estimate: 3400 * time.Millisecond, Gang: i%2 == 0}}}
	if teams > 0 {
		j.Team = lovagestand.TeamName(fmt.Sprintf("t%d", i%teams))
	}
	return newJobEntry(job.New(j, time.Now()), nil)
}

// BenchmarkAssignTiers measures the part of a pass that teams add.
func BenchmarkAssignTiers(b *testing.B) {
	for _, teams := range []int{20, 380} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := fullShard(teams)
			p := &pass{now: time.Now()}
			for _, e := range s.live {
				s.collectWaitingSteps(p, e)
			}
			s.collectWorkers(p)
			for b.Loop() {
				s.assignTiers(p)
			}
		})
	}
}
