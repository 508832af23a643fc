package replay

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Result is what a replay measured after its first fifth; services, which all
// come at the start, are measured from there.
type Result struct {
	// Waits holds the waits for the first start by class, in order.
	Waits map[lovagestand.Class][]time.Duration
	// Unstarted counts the tasks that still wait at the end by class.
	Unstarted map[lovagestand.Class]int
	Refused   map[lovagestand.Class]int
	Expired   map[lovagestand.Class]int
	// Placed is the processors placed as a fraction of what could be: the
	// demand, or the capacity where that is less.
	Placed float64
	// Used is the processors placed as a fraction of the capacity.
	Used float64
	// Wasted is the processor time spent on checkpoints and resuming as a
	// fraction of what was placed; Preempted counts displaced tasks.
	Wasted    float64
	Preempted int
	// WorstTeam is the smallest part of its fair share that any team had
	// while it had work.
	WorstTeam float64
	// ClaimedIdle is the capacity kept idle for waiting tasks, as a fraction.
	ClaimedIdle float64
	// Peak is the most tasks that waited at once.
	Peak int
}

// Wait returns a quantile of the waits of a class; those that still wait at
// the end count with their wait so far.
func (r Result) Wait(class lovagestand.Class, quantile float64) time.Duration {
	waits := r.Waits[class]
	if len(waits) == 0 {
		return 0
	}
	return waits[min(int(quantile*float64(len(waits))), len(waits)-1)]
}

// meter measures a replay at each tick.
type meter struct {
	load      Load
	warmUp    time.Duration
	waits     map[lovagestand.Class][]time.Duration
	refused   map[lovagestand.Class]int
	expired   map[lovagestand.Class]int
	unstarted map[lovagestand.Class]int
	// placed, possible, kept and all sum thousandths of cores over ticks.
	placedSum, placeableSum, claimedIdleSum, capacitySum float64
	wasted                                               float64
	preemptions                                          int
	peakWaiting                                          int
	teams                                                map[lovagestand.TeamName]*teamSum
}

// teamSum sums what a team had and what it was due while it had work.
type teamSum struct {
	received, entitled float64
	ticks              int
}

func newMeter(l Load) *meter {
	return &meter{
		load: l, warmUp: l.Duration / 5,
		waits:   map[lovagestand.Class][]time.Duration{},
		refused: map[lovagestand.Class]int{}, expired: map[lovagestand.Class]int{},
		unstarted: map[lovagestand.Class]int{},
		teams:     map[lovagestand.TeamName]*teamSum{},
	}
}

func (m *meter) recordWait(class lovagestand.Class, now, wait time.Duration) {
	if now >= m.warmUp || class == lovagestand.ClassService {
		m.waits[class] = append(m.waits[class], wait)
	}
}

func (m *meter) recordPreemption(j *job, took time.Duration) {
	m.preemptions++
	m.wasted += float64(j.task.Resources.MilliCPU) * (took + resumeCost).Seconds()
}

// measure takes one sample.
func (m *meter) measure(r *replay) {
	if r.now < m.warmUp {
		return
	}
	capacity := float64(m.load.Workers * coresPerWorker * 1000)
	placed, wanted := 0.0, 0.0
	for _, size := range r.runningMilliCPU {
		placed += float64(size)
	}
	for _, size := range r.waitingMilliCPU {
		wanted += float64(size)
	}
	m.placedSum += placed
	m.placeableSum += min(placed+wanted, capacity)
	m.capacitySum += capacity
	m.peakWaiting = max(m.peakWaiting, len(r.waitingJobs))
	if k, ok := r.decider.(ClaimReporter); ok {
		m.claimedIdleSum += float64(k.ClaimedFree().MilliCPU)
	}
	m.measureTeams(r, placed)
}

// close counts what still waits at the end with its wait so far.
func (m *meter) close(r *replay) {
	for _, j := range r.waitingJobs {
		if !j.started {
			m.recordWait(j.task.Class, r.now, r.now-j.arrival)
			m.unstarted[j.task.Class]++
		}
	}
}

// measureTeams compares what each team with work has to its fair part of what is
// placed in all.
func (m *meter) measureTeams(r *replay, placed float64) {
	demand := map[lovagestand.TeamName]float64{}
	for name, size := range r.runningMilliCPU {
		demand[name] += float64(size)
	}
	for name, size := range r.waitingMilliCPU {
		demand[name] += float64(size)
	}
	level := fairLevel(demand, placed)
	for name, size := range demand {
		if size == 0 {
			continue
		}
		sum, ok := m.teams[name]
		if !ok {
			sum = &teamSum{}
			m.teams[name] = sum
		}
		sum.ticks++
		sum.received += min(float64(r.runningMilliCPU[name]), level)
		sum.entitled += min(size, level)
	}
}

// fairLevel returns the level up to which each team's demand is met when
// total is shared out max-min fair.
func fairLevel(demand map[lovagestand.TeamName]float64, total float64) float64 {
	var sizes []float64
	for _, d := range demand {
		sizes = append(sizes, d)
	}
	slices.Sort(sizes)
	for i, size := range sizes {
		each := total / float64(len(sizes)-i)
		if each <= size {
			return each
		}
		total -= size
	}
	return total
}

// minTicks is how long a team must have had work to be judged.
const minTicks = int(30 * time.Second / tick)

func (m *meter) result() Result {
	worst := 1.0
	for _, sum := range m.teams {
		if sum.ticks >= minTicks {
			worst = min(worst, sum.received/sum.entitled)
		}
	}
	for _, waits := range m.waits {
		slices.Sort(waits)
	}
	return Result{
		Waits: m.waits, Unstarted: m.unstarted, Refused: m.refused, Expired: m.expired,
		Placed: m.placedSum / m.placeableSum, Used: m.placedSum / m.capacitySum,
		Wasted: m.wasted / (m.placedSum * tick.Seconds()), Preempted: m.preemptions,
		WorstTeam: worst, ClaimedIdle: m.claimedIdleSum / m.capacitySum, Peak: m.peakWaiting,
	}
}
