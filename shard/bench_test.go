package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// BenchmarkPassUnderOverload measures a planning pass of a shard with 350 nearly full
// workers and 900 live jobs, of which a third has tasks that wait.
func BenchmarkPassUnderOverload(b *testing.B) {
	s := New(jobstore.Term{Shard: "0", Epoch: 1}, Limits{MaxLease: 8 * time.Second}, Deps{
		AdviceClients: func() []AdviceClient { return nil }, Confirmed: func() bool { return true }, Assured: func() bool { return true },
		Log: zerolog.Nop(), Recorder: lovagestand.NoRecorder{},
	})
	defer s.cancel()
	now := time.Now()
	var workers []*worker
	for n := range 350 {
		name := lovagestand.WorkerName(fmt.Sprintf("w%03d", n))
		w := &worker{
			info: lovagestand.FleetWorker{
				WorkerIncarnation: lovagestand.WorkerIncarnation{Name: name}, Ready: true, Rack: "r",
				Capacity: lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 32000},
			},
			free: lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 32000}, cancel: func() {}, listed: true, lastListed: now.Add(time.Hour),
			contacted: true, enrolled: true, lastAnswer: now.Add(time.Hour), placements: map[string]*placement{}, strays: map[string]int64{},
		}
		s.workers[name] = w
		workers = append(workers, w)
	}
	for n := range 900 {
		tasks := 3 + n%3*11
		j := job.Job{
			ID: job.ID(fmt.Sprintf("%016x", n)), Steps: []job.Step{{
				Count: tasks, Needs: lovagestand.Resources{MilliCPU: 2500, MemoryMiB: 4000}, Estimate: time.Second, Gang: n%3 == 0,
			}},
			Policy: job.Policy{Route: "r", MaxAttempts: 3, Stretch: 2, Target: time.Second, Advice: job.AdvicePolicy{FixedDuration: time.Second, PerWorker: time.Millisecond, Validity: 2500 * time.Millisecond}},
		}
		e := newJobEntry(job.New(j, now), nil)
		e.durable = true
		s.estimateWork(e)
		s.jobs[j.ID], s.live[j.ID] = e, e
		if n%3 != 1 {
			for i := range tasks {
				task := job.Task{Index: i}
				w := workers[(n*7+i)%len(workers)]
				if n%3 == 2 && i%2 == 0 || !(lovagestand.Resources{MilliCPU: 2500, MemoryMiB: 4000}).Fits(w.free) || !e.progress.Start(task, 1) {
					continue
				}
				p := &placement{entry: e, task: task, name: j.TaskName(task), run: 1, needs: j.Steps[0].Needs, worker: w, placedAt: now, settledAt: now, expectedRunTime: time.Second}
				s.reserveRoom(p)
				s.activate(p)
			}
		}
	}
	s.deps.AdviceClients = func() []AdviceClient {
		return []AdviceClient{{Instance: "i", Advise: func(context.Context, string, []lovagestand.WorkerName) (lovagestand.Advice, error) {
			return lovagestand.Advice{}, &lovagestand.UnavailableError{}
		}}}
	}
	for b.Loop() {
		s.plan()
	}
}
