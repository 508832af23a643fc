package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/speed"
)

const (
	seeds = 20
	// tasksPerWorker is the number of tasks that a worker completes within 10 s of the
	// usual load.
	tasksPerWorker = 8
	usualLoad      = 10 * time.Second
)

var begin = time.Unix(1_000_000, 0)

// machines is a fleet whose workers have one of several speeds each.
type machines struct {
	names  []lovagestand.WorkerName
	speeds []float64
	random *rand.Rand
}

func newMachines(seed uint64, speeds ...float64) *machines {
	m := &machines{random: rand.New(rand.NewPCG(seed, 3))}
	for i := range 350 {
		m.names = append(m.names, lovagestand.WorkerName(fmt.Sprintf("w%03d", i)))
		m.speeds = append(m.speeds, speeds[i%len(speeds)])
	}
	return m
}

// replay runs tasks of steps of 3 and 25, with estimates that are off by up to 90% or by a
// factor for the whole route, and 3 in 100 tasks that take seven times as long. The workers
// for which degraded returns true take nine times as long at that time. It returns after
// which time the fleet first counted as uneven, and whether it ever did.
func (m *machines) replay(f *speed.Fleet, duration time.Duration, degraded func(worker int, at time.Duration) bool) (time.Duration, bool) {
	interval := time.Duration(float64(usualLoad) / float64(tasksPerWorker*len(m.names)))
	first, uneven := time.Duration(0), false
	step, left, tasks, estimate := 0, 0, 0, 1.0
	for at := time.Duration(0); at < duration; at += interval {
		if left == 0 {
			step, tasks = step+1, 3
			if step%3 == 0 {
				tasks = 25
			}
			left, estimate = tasks, math.Sqrt(0.1+1.8*m.random.Float64())
			if tasks == 25 {
				estimate *= 3
			}
		}
		left--
		i := m.random.IntN(len(m.names))
		took := (0.7 + 0.6*m.random.Float64()) / m.speeds[i]
		if m.random.Float64() < 0.03 {
			took *= 7
		}
		if degraded(i, at) {
			took *= 9
		}
		now := begin.Add(at)
		f.Add(now, speed.Run{
			Step: fmt.Sprint(step), Tasks: tasks, Worker: m.names[i],
			Took: time.Duration(took * float64(time.Second)), Expected: time.Duration(estimate * float64(time.Second)),
		})
		if s := f.Update(now, m.names); s.Uneven && !uneven {
			first, uneven = at, true
		}
	}
	return first, uneven
}

func never(int, time.Duration) bool { return false }

// quarterFrom returns that a quarter of the workers is degraded for 7 s from a time.
func quarterFrom(from time.Duration) func(int, time.Duration) bool {
	return func(worker int, at time.Duration) bool {
		return worker%4 == 0 && at >= from && at < from+7*time.Second
	}
}

// TestUnevenFleetIsDetected guards against fleets whose speeds remain unknown under the
// usual load, and against a decision that flips afterwards.
func TestUnevenFleetIsDetected(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(seeds) {
		m, f := newMachines(seed, 0.7, 0.7, 1.7), speed.New()
		first, uneven := m.replay(f, usualLoad, never)
		c.Check(uneven, qt.IsTrue, qt.Commentf("seed %d: not uneven within %v", seed, usualLoad))
		now := begin.Add(usualLoad)
		wrong := 0
		for i, name := range m.names {
			e := f.Estimate(now, name)
			if e.Speed > 0 && (e.Speed > 1.1) != (m.speeds[i] > 1) {
				wrong++
			}
		}
		s := f.Update(now, m.names)
		c.Logf("seed %d: uneven after %v, %+v, %d of %d in the wrong class", seed, first, s, wrong, len(m.names))
		c.Check(wrong*10 < len(m.names), qt.IsTrue, qt.Commentf("seed %d: %d workers in the wrong class", seed, wrong))
	}
}

// TestEvenFleetIsNotUneven guards against noise, errors of estimates and degraded workers
// that make a fleet count as uneven.
func TestEvenFleetIsNotUneven(t *testing.T) {
	c := qt.New(t)
	for name, speeds := range map[string][]float64{"1.0/1.0/1.3": {1, 1, 1.3}, "0.8/1.0/1.25": {0.8, 1, 1.25}, "1.0": {1}} {
		for fault, degraded := range map[string]func(int, time.Duration) bool{"none": never, "at once": quarterFrom(0), "later": quarterFrom(20 * time.Second)} {
			for seed := range uint64(seeds) {
				_, uneven := newMachines(seed, speeds...).replay(speed.New(), 40*time.Second, degraded)
				c.Check(uneven, qt.IsFalse, qt.Commentf("%s, degraded %s, seed %d", name, fault, seed))
			}
		}
	}
}

// TestDegradationDoesNotChangeSpeed guards against a fault that makes a fast worker count
// as a slow machine, and an uneven fleet as even.
func TestDegradationDoesNotChangeSpeed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(seeds) {
		m, f := newMachines(seed, 0.7, 0.7, 1.7), speed.New()
		m.replay(f, 27*time.Second, quarterFrom(20*time.Second))
		now := begin.Add(27 * time.Second)
		s := f.Update(now, m.names)
		c.Check(s.Uneven, qt.IsTrue, qt.Commentf("seed %d", seed))
		wrong := 0
		for i := 0; i < len(m.names); i += 4 {
			if m.speeds[i] > 1 && f.Estimate(now, m.names[i]).Speed < 1.1 {
				wrong++
			}
		}
		c.Check(wrong <= 3, qt.IsTrue, qt.Commentf("seed %d: %d of 29 degraded fast workers count as slow", seed, wrong))
	}
}
