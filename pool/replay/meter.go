package replay

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Result is what a replay measured. Waits and samples of the state leave out the
// first fifth of the duration, except that the waits of services are measured
// from the start, when all services arrive. Refused, expired and preempted tasks
// and the time spent on preemptions are counted from the start.
type Result struct {
	// Waits holds the waits until the first start by class, shortest first.
	Waits map[lovagestand.Class][]time.Duration
	// Unstarted counts the tasks by class that still wait for their first start
	// at the end.
	Unstarted map[lovagestand.Class]int
	Refused   map[lovagestand.Class]int
	Expired   map[lovagestand.Class]int
	// Placed is the reserved processor capacity as a fraction of what could be
	// reserved: the demand or, where that is less, the total capacity.
	Placed float64
	// Used is the reserved processor capacity as a fraction of the total.
	Used float64
	// Wasted is the processor time spent on checkpoints and on resuming as a
	// fraction of all reserved processor time. Preempted counts the preempted
	// tasks.
	Wasted    float64
	Preempted int
	// WorstTeam is the smallest part of its fair share that any team was given
	// while it had tasks.
	WorstTeam float64
	// ClaimedIdle is the fraction of the capacity that is idle on claimed
	// workers.
	ClaimedIdle float64
	// Peak is the largest number of tasks that waited at once.
	Peak int
}

// Wait returns a quantile of the waits of a class. Tasks that still wait at the
// end are included with their wait until then.
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
	// placedSum, placeableSum, claimedIdleSum and capacitySum are sums over all
	// ticks, in thousandths of a core.
	placedSum, placeableSum, claimedIdleSum, capacitySum float64
	wasted                                               float64
	preemptions                                          int
	peakWaiting                                          int
	teams                                                map[lovagestand.TeamName]*teamSum
}

// teamSum sums what a team was given, and what it was entitled to, while it had
// tasks.
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
	if reporter, ok := r.decider.(ClaimReporter); ok {
		m.claimedIdleSum += float64(reporter.ClaimedFree().MilliCPU)
	}
	m.measureTeams(r, placed)
}

// close counts the tasks that wait for their first start at the end, and
// records their wait until then.
func (m *meter) close(r *replay) {
	for _, j := range r.waitingJobs {
		if !j.started {
			m.recordWait(j.task.Class, r.now, r.now-j.arrival)
			m.unstarted[j.task.Class]++
		}
	}
}

// measureTeams compares what each team with tasks was given with its fair share
// of all that is placed.
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

// fairLevel returns the level up to which the demand of each team is met if
// total is divided by max-min fairness.
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

// minTicks is the number of ticks for which a team must have had tasks to count
// for the worst team.
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
