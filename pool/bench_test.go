package pool_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
	"lovagestand.example/lovagestand/pool/baseline"
	"lovagestand.example/lovagestand/pool/naive"
)

// tasksPerWorker is the number of tasks that run on each worker at the start.
// With 1,900 workers these are 47,500 tasks.
const tasksPerWorker = 25

// ampleMilliCPU and scarceMilliCPU are the capacity of a worker. With the
// first, the tasks fit easily; with the second, some always wait.
const ampleMilliCPU, scarceMilliCPU = 28000, 22000

var implementations = []struct {
	name string
	make func() lovagestand.Decider
}{
	{"pool", func() lovagestand.Decider { return pool.New("s") }},
	{"firstFit", func() lovagestand.Decider { return baseline.New("s") }},
	{"random", func() lovagestand.Decider { return baseline.New("s", baseline.WithRandomPlacement(1)) }},
	{"naive", func() lovagestand.Decider { return naive.New("s") }},
}

// BenchmarkDecide measures one decision in a full cell: a task ends, another
// arrives and is placed.
func BenchmarkDecide(b *testing.B) {
	for _, c := range implementations {
		for _, workers := range []int{50, 500, 1900} {
			b.Run(fmt.Sprintf("%s/workers=%d", c.name, workers), func(b *testing.B) {
				benchmark(b, newLoad(c.make(), workers, ampleMilliCPU))
			})
		}
	}
}

// BenchmarkBacklog measures a decision in a cell in which some tasks always
// wait.
func BenchmarkBacklog(b *testing.B) {
	l := newLoad(pool.New("s"), 1900, scarceMilliCPU)
	for range 200_000 {
		l.step()
	}
	benchmark(b, l)
}

func benchmark(b *testing.B, l *load) {
	b.ReportAllocs()
	l.durations = l.durations[:0]
	l.started = 0
	for b.Loop() {
		l.step()
	}
	slices.Sort(l.durations)
	b.ReportMetric(float64(l.durations[len(l.durations)-1].Nanoseconds()), "worst-ns")
	b.ReportMetric(float64(l.durations[len(l.durations)*99/100].Nanoseconds()), "p99-ns")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
	b.ReportMetric(float64(l.started)/float64(b.N), "starts/op")
}

// load is a cell in which tasks of 20 shapes from 380 teams arrive and end.
type load struct {
	decider lovagestand.Decider
	random  *rand.Rand
	now     time.Time
	// running and unused together hold the IDs of all tasks.
	running   []lovagestand.TaskID
	unused    []lovagestand.TaskID
	decisions []lovagestand.Decision
	started   int
	// durations holds how long the calls of each step took.
	durations []time.Duration
}

func newLoad(d lovagestand.Decider, workers int, milliCPU int64) *load {
	l := &load{decider: d, random: rand.New(rand.NewPCG(1, 2)), now: startTime}
	for i := range workers {
		d.SetWorker(l.now, lovagestand.Worker{
			Name: lovagestand.WorkerName(fmt.Sprintf("w%d", i)), Slots: 40,
			FailureDomain: lovagestand.FailureDomain(fmt.Sprintf("d%d", i/8%13)),
			Rack:          lovagestand.RackName(fmt.Sprintf("r%d", i/8)),
			Capacity:      lovagestand.Resources{MilliCPU: milliCPU, MemoryMiB: 131072, Accelerators: int64(i % 2 * 4)},
		}, "cell")
	}
	for i := range workers * tasksPerWorker * 12 / 10 {
		l.unused = append(l.unused, lovagestand.TaskID(fmt.Sprintf("task-%08d", i)))
	}
	for i := range workers * tasksPerWorker {
		t := l.task()
		d.Adopt(l.now, t, lovagestand.WorkerName(fmt.Sprintf("w%d", i%workers)))
		l.running = append(l.running, t.ID)
	}
	return l
}

func (l *load) task() lovagestand.Task {
	n := l.random.IntN(20)
	class := lovagestand.ClassBatch
	switch {
	case n == 0:
		class = lovagestand.ClassService
	case n < 4:
		class = lovagestand.ClassUrgent
	}
	last := len(l.unused) - 1
	id := l.unused[last]
	l.unused = l.unused[:last]
	return lovagestand.Task{
		ID: id, Key: "key", Route: routeNames[n], Pool: "cell", Class: class, Checkpoints: true,
		Team:      teamNames[l.random.IntN(len(teamNames))],
		Resources: lovagestand.Resources{MilliCPU: int64(200 + 80*n), MemoryMiB: int64(1024 + 512*(n%7))},
		Submitted: l.now, StartBy: l.now.Add(time.Minute),
	}
}

// step ends one random task, submits another and decides.
func (l *load) step() {
	l.now = l.now.Add(time.Millisecond)
	i := l.random.IntN(len(l.running))
	ended, t := l.running[i], l.task()
	l.running[i] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	began := time.Now()
	l.decider.Finish(l.now, ended, lovagestand.TaskResult{Phase: lovagestand.TaskDone, Ran: time.Second})
	err := l.decider.Submit(l.now, t)
	l.decisions = l.decider.Decide(l.now, l.decisions[:0])
	l.durations = append(l.durations, time.Since(began))
	l.unused = append(l.unused, ended)
	if err != nil {
		l.unused = append(l.unused, t.ID)
	}
	for i := range l.decisions {
		l.apply(&l.decisions[i])
	}
}

func (l *load) apply(d *lovagestand.Decision) {
	switch d.Kind {
	case lovagestand.DecisionPreempt:
		i := slices.Index(l.running, d.Task.ID)
		l.running[i] = l.running[len(l.running)-1]
		l.running = l.running[:len(l.running)-1]
		l.decider.Finish(l.now, d.Task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskStopped})
		if l.decider.Submit(l.now, d.Task) != nil {
			l.unused = append(l.unused, d.Task.ID)
		}
	case lovagestand.DecisionExpire:
		l.unused = append(l.unused, d.Task.ID)
	case lovagestand.DecisionStart:
		l.running = append(l.running, d.Task.ID)
		l.started++
	}
}

var routeNames, teamNames = numberedNames[lovagestand.RouteName]("route", 20), numberedNames[lovagestand.TeamName]("team", 380)

func numberedNames[N ~string](kind string, count int) []N {
	out := make([]N, count)
	for i := range out {
		out[i] = N(fmt.Sprintf("%s%d", kind, i))
	}
	return out
}

// BenchmarkMemory reports the memory of a cell of 1,900 workers with 47,500
// tasks. It leaves out the IDs of the tasks, since the caller holds these too.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		l := newLoad(pool.New("s"), 1900, ampleMilliCPU)
		held := heapBytes()
		l.decider = nil
		b.ReportMetric(float64(held-heapBytes())/(1<<20), "MiB")
		runtime.KeepAlive(l)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIdle measures decisions and digests when nothing has changed.
func BenchmarkIdle(b *testing.B) {
	l := newLoad(pool.New("s"), 1900, ampleMilliCPU)
	l.decider.Decide(l.now, nil)
	b.Run("decide", func(b *testing.B) {
		for b.Loop() {
			l.decider.Decide(l.now, nil)
		}
	})
	b.Run("digest", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			l.decider.Digest(l.now)
		}
	})
}
