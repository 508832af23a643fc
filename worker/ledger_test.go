package worker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

func size(milliCPU, memoryMiB, accelerators int64) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB, Accelerators: accelerators}
}

// TestBestFitAgreesWithScan compares the result of the index with that of a scan over
// all workers, while tasks come and go on 300 workers.
func TestBestFitAgreesWithScan(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	l := worker.NewLedger()
	for i := range 300 {
		l.Add(worker.Spec{Capacity: size(16, 32, int64(i%3)), Slots: 12, Schedulable: true})
	}
	taken := map[worker.Row][]lovagestand.Resources{}
	for range 20000 {
		needed := size(random.Int64N(6), random.Int64N(12), random.Int64N(8)/6)
		found := l.BestFit(needed)
		c.Assert(found, qt.Equals, scan(l, needed))
		if found != worker.None && random.IntN(10) > 0 {
			c.Assert(l.Take(found, needed), qt.IsTrue)
			taken[found] = append(taken[found], needed)
		}
		row := worker.Row(random.IntN(300))
		if n := len(taken[row]); n > 0 {
			l.Release(row, taken[row][n-1])
			taken[row] = taken[row][:n-1]
		}
		if random.IntN(20) == 0 {
			l.Close(row, random.IntN(2) == 0)
		}
	}
}

// scan returns the best fit for a task, found without the index.
func scan(l *worker.Ledger, needed lovagestand.Resources) worker.Row {
	best := worker.None
	for r := range l.Rows() {
		if l.HasRoom(r, needed) && !l.Closed(r) && (best == worker.None || l.TighterFit(r, best)) {
			best = r
		}
	}
	return best
}

func TestAdoptOverfills(t *testing.T) {
	c := qt.New(t)
	l := worker.NewLedger()
	r := l.Add(worker.Spec{Capacity: size(4, 4, 0), Slots: 3, Schedulable: true})
	l.Adopt(r, size(6, 1, 0))
	c.Assert(l.Take(r, size(0, 0, 0)), qt.IsFalse)
	c.Assert(l.BestFit(size(0, 1, 0)), qt.Equals, worker.None)
	c.Assert(l.Totals().Free, qt.Equals, size(0, 3, 0))
	l.Release(r, size(6, 1, 0))
	c.Assert(l.Take(r, size(4, 4, 0)), qt.IsTrue)
	c.Assert(l.Resize(r, size(4, 4, 0), size(4, 5, 0)), qt.IsFalse)
}

func TestActionFor(t *testing.T) {
	base := worker.Overuse{Reserved: size(1000, 1000, 1), Usage: size(1000, 1000, 1), Spare: size(1000, 1000, 0), Reports: 2}
	for name, test := range map[string]struct {
		change func(*worker.Overuse)
		want   worker.Action
	}{
		"within":              {func(*worker.Overuse) {}, worker.ActionNone},
		"processors":          {func(o *worker.Overuse) { o.Usage.MilliCPU = 2000 }, worker.ActionThrottle},
		"processors at first": {func(o *worker.Overuse) { o.Usage.MilliCPU = 2000; o.Reports = 1 }, worker.ActionNone},
		"throttled already":   {func(o *worker.Overuse) { o.Usage.MilliCPU = 2000; o.Throttled = true }, worker.ActionNone},
		"memory to spare":     {func(o *worker.Overuse) { o.Usage.MemoryMiB = 1500 }, worker.ActionNone},
		"memory for long":     {func(o *worker.Overuse) { o.Usage.MemoryMiB = 1500; o.Reports = 3 }, worker.ActionStop},
		"memory short":        {func(o *worker.Overuse) { o.Usage.MemoryMiB = 2500; o.Checkpoints = true }, worker.ActionCheckpoint},
		"accelerators":        {func(o *worker.Overuse) { o.Usage.Accelerators = 2 }, worker.ActionStop},
		"old report":          {func(o *worker.Overuse) { o.Usage.MemoryMiB = 9000; o.Age = time.Hour }, worker.ActionNone},
	} {
		t.Run(name, func(t *testing.T) {
			o := base
			test.change(&o)
			qt.New(t).Assert(worker.ActionFor(o), qt.Equals, test.want)
		})
	}
}
