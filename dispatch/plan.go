package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Worker is a worker as the plan sees it.
type Worker struct {
	Rack     lovagestand.RackName
	Labels   []string
	Capacity lovagestand.Resources
	Free     lovagestand.Resources
	// Open says that the worker may take new tasks.
	Open bool
	// Slowness is how many times as long as usual tasks run here.
	Slowness float64

	// reservedUntil is when a gang is to start here; shorter tasks may run
	// until then, longer ones only within spare, the room that is left then.
	reservedUntil time.Time
	spare         lovagestand.Resources
}

// Release is an expected end of a task.
type Release struct {
	At    time.Time
	Frees lovagestand.Resources
}

// Candidate is a worker that policy allows for a step.
type Candidate struct {
	Worker int
	// Permitted says that a ticket for it is at hand and valid.
	Permitted bool
}

// Step is a step with tasks that wait for a worker.
type Step struct {
	Tasks        int
	Needs        lovagestand.Resources
	Gang         bool
	SameRack     bool
	Label        string
	Affinity     lovagestand.RackName
	MaxPerWorker int
	// Placed counts the step's tasks by worker, for MaxPerWorker.
	Placed map[int]int
	// Avoid are workers on which a task of the step has failed.
	Avoid map[int]bool
	// Advised says that tasks need tickets; Candidates are then the workers
	// known to be allowed, nil before the first advice.
	Advised    bool
	Candidates []Candidate
	// Asked reports whether the policy's answer for a worker is known; nil for
	// none.
	Asked func(worker int) bool
	// Seed spreads the workers that different steps ask about.
	Seed uint64
	// Asking says that a call for advice is under way.
	Asking bool
	// AskAhead is how long before a reserved start tickets are renewed, so
	// that the room is not idle while the call is under way.
	AskAhead time.Duration
	// RunTime is how long one task is expected to run.
	RunTime time.Duration
	Score   float64
}

// Decision is what becomes of one step in this pass.
type Decision struct {
	// Step is the index of the step.
	Step int
	// Workers has the worker of each task to start, by index.
	Workers []int
	// Ask lists workers about which to ask for advice.
	Ask []int
}

const (
	// minReservations and workersPerReservation bound how many gangs that do
	// not fit reserve workers.
	minReservations       = 2
	workersPerReservation = 60
	// reservationHorizon is how far ahead a reservation may lie.
	reservationHorizon = 10 * time.Second
	// maxAsk and minAsk bound how many workers one call for advice names.
	maxAsk = 96
	minAsk = 48
	// spreadFactor mixes seeds and workers: an odd number near the golden
	// ratio of 64 bits.
	spreadFactor = 0x9e3779b97f4a7c15
	// askPerTask is how many workers are named for each task.
	askPerTask = 5
	// slownessCost is how much packing a slow worker must save.
	slownessCost = 0.4
	// affinityGain prefers workers next to the data.
	affinityGain = 2
	// avoidCost keeps tasks off workers on which one of their step failed.
	avoidCost = 4
)

// Load is what one pass decides about.
type Load struct {
	Now     time.Time
	Workers []Worker
	// Releases returns when running tasks of a worker are expected to end,
	// soonest first; nil for never.
	Releases func(worker int) []Release
	Steps    []Step
	// Asks bounds the calls for advice that the pass decides on.
	Asks int
}

// planner works through the steps of one pass.
type planner struct {
	Load
	releases     [][]Release
	reservations int
	decisions    []Decision
}

// Plan decides for all steps, best score first. It changes the free resources
// of workers to what is left.
func Plan(l Load) []Decision {
	p := &planner{Load: l, releases: make([][]Release, len(l.Workers))}
	p.reservations = max(minReservations, len(l.Workers)/workersPerReservation)
	order := make([]int, len(l.Steps))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(l.Steps[b].Score, l.Steps[a].Score) })
	for _, i := range order {
		p.decide(i, &l.Steps[i])
	}
	return p.decisions
}

// releasesOf returns the expected ends on a worker.
func (p *planner) releasesOf(worker int) []Release {
	if p.releases[worker] == nil && p.Releases != nil {
		p.releases[worker] = p.Releases(worker)
	}
	return p.releases[worker]
}

// ask decides on a call for advice, if one is left in this pass.
func (p *planner) ask(index int, workers []int) {
	if p.Asks <= 0 || len(workers) == 0 {
		return
	}
	p.Asks--
	p.decisions = append(p.decisions, Decision{Step: index, Ask: workers})
}

func (p *planner) decide(index int, s *Step) {
	if s.Advised && s.Candidates == nil {
		if !s.Asking && p.Asks > 0 {
			p.ask(index, p.toAsk(s))
		}
		return
	}
	chosen := p.choose(s, true)
	if len(chosen) == s.Tasks || !s.Advised && len(chosen) > 0 && !s.Gang {
		p.decisions = append(p.decisions, Decision{Step: index, Workers: chosen})
		return
	}
	if !s.Gang && len(chosen) > 0 {
		p.decisions = append(p.decisions, Decision{Step: index, Workers: chosen})
	} else {
		p.giveBack(s, chosen)
	}
	if s.Advised {
		p.askAgain(index, s, len(chosen))
		return
	}
	p.reserve(s)
}

// askAhead renews the tickets for workers on which a gang is about to start.
func (p *planner) askAhead(index int, s *Step, workers []int, start time.Time) {
	if s.Asking || len(workers) == 0 || start.Sub(p.Now) > s.AskAhead {
		return
	}
	for _, c := range s.Candidates {
		if c.Permitted && slices.Contains(workers, c.Worker) {
			return
		}
	}
	p.ask(index, p.allCandidates(s))
}

// allCandidates returns the open workers that are known to be allowed.
func (p *planner) allCandidates(s *Step) []int {
	var workers []int
	for _, c := range s.Candidates {
		if p.Workers[c.Worker].Open && len(workers) < maxAsk {
			workers = append(workers, c.Worker)
		}
	}
	return workers
}

// askAgain renews tickets for workers that have room but no valid ticket, and
// keeps that room for the step.
func (p *planner) askAgain(index int, s *Step, placed int) {
	rest := *s
	if !s.Gang {
		rest.Tasks -= placed
	}
	wanted := p.choose(&rest, false)
	if s.Gang && len(wanted) < s.Tasks || len(wanted) == 0 {
		p.giveBack(s, wanted)
		if p.askMore(index, s) {
			return
		}
		workers, start := p.reserve(s)
		p.askAhead(index, s, workers, start)
		return
	}
	if !s.Asking {
		slices.Sort(wanted)
		p.ask(index, p.withRoom(s, slices.Compact(wanted)))
	}
}

// askMore asks about workers of which the policy's answer is not known, where
// those allowed cannot hold the step or others could hold it now.
func (p *planner) askMore(index int, s *Step) bool {
	if s.Asking || p.Asks <= 0 {
		return false
	}
	more := p.toAsk(s)
	if len(more) == 0 || !p.hopeless(s) && !p.roomAmong(s, more) {
		return false
	}
	p.ask(index, more)
	return true
}

// withRoom adds to the workers asked about the others that have room, since
// one more costs little next to the call.
func (p *planner) withRoom(s *Step, wanted []int) []int {
	for _, c := range s.Candidates {
		if len(wanted) >= maxAsk {
			break
		}
		if !slices.Contains(wanted, c.Worker) && p.fits(s, c.Worker) {
			wanted = append(wanted, c.Worker)
		}
	}
	return wanted
}

// hopeless reports whether the workers known to be allowed could not hold the
// step even if they were empty.
func (p *planner) hopeless(s *Step) bool {
	room := 0
	for _, c := range s.Candidates {
		if w := &p.Workers[c.Worker]; w.Open {
			room += slotsIn(w.Capacity, s)
		}
	}
	if s.Gang {
		return room < s.Tasks
	}
	return room == 0
}

// roomAmong reports whether workers not asked about have room now.
func (p *planner) roomAmong(s *Step, workers []int) bool {
	room := 0
	for _, i := range workers {
		if p.allowed(s, i) {
			room += slotsIn(p.Workers[i].Free, s)
		}
	}
	if s.Gang {
		return room >= s.Tasks
	}
	return room > 0
}

// slotsIn returns how many tasks of a step fit into an amount of resources.
func slotsIn(r lovagestand.Resources, s *Step) int {
	n := s.Tasks
	for _, pair := range [][2]int64{
		{r.MilliCPU, s.Needs.MilliCPU}, {r.MemoryMiB, s.Needs.MemoryMiB}, {r.Accelerators, s.Needs.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, int(max(0, pair[0])/pair[1]))
		}
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// choose takes room for the tasks of a step and returns their workers; fewer
// than all where there is not enough room.
func (p *planner) choose(s *Step, permitted bool) []int {
	eligible := p.eligible(s, permitted)
	if s.Gang && s.SameRack {
		for _, rack := range p.racks(eligible) {
			chosen := p.take(s, rack)
			if len(chosen) == s.Tasks {
				return chosen
			}
			p.giveBack(s, chosen)
		}
	}
	return p.take(s, eligible)
}

func (p *planner) eligible(s *Step, permitted bool) []int {
	var eligible []int
	if s.Advised {
		for _, c := range s.Candidates {
			if (c.Permitted || !permitted) && p.allowed(s, c.Worker) {
				eligible = append(eligible, c.Worker)
			}
		}
		return eligible
	}
	for i := range p.Workers {
		if p.allowed(s, i) {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// allowed reports whether a task of the step may start on a worker now, room
// aside.
func (p *planner) allowed(s *Step, worker int) bool {
	w := &p.Workers[worker]
	if !w.Open || s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return false
	}
	return !p.delays(s, w) || s.Needs.Fits(w.spare)
}

// delays reports whether a task of the step would run past a reserved start.
func (p *planner) delays(s *Step, w *Worker) bool {
	return !w.reservedUntil.IsZero() && p.Now.Add(scale(s.RunTime, w.Slowness)).After(w.reservedUntil)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * max(factor, 1))
}

// racks splits workers by rack, those with more workers first.
func (p *planner) racks(eligible []int) [][]int {
	byRack := map[lovagestand.RackName][]int{}
	for _, i := range eligible {
		byRack[p.Workers[i].Rack] = append(byRack[p.Workers[i].Rack], i)
	}
	racks := make([][]int, 0, len(byRack))
	for _, rack := range byRack {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b []int) int {
		return cmp.Or(cmp.Compare(len(b), len(a)), cmp.Compare(a[0], b[0]))
	})
	return racks
}

func (p *planner) take(s *Step, eligible []int) []int {
	var chosen []int
	count := map[int]int{}
	for len(chosen) < s.Tasks {
		best, bestCost := -1, 0.0
		for _, i := range eligible {
			if w := &p.Workers[i]; p.delays(s, w) && !s.Needs.Fits(w.spare) {
				continue
			}
			if !s.Needs.Fits(p.Workers[i].Free) || s.MaxPerWorker > 0 && s.Placed[i]+count[i] >= s.MaxPerWorker {
				continue
			}
			if cost := p.cost(s, i); best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best < 0 {
			return chosen
		}
		chosen = append(chosen, best)
		count[best]++
		w := &p.Workers[best]
		w.Free = w.Free.Sub(s.Needs)
		if p.delays(s, w) {
			w.spare = w.spare.Sub(s.Needs)
		}
	}
	return chosen
}

// cost ranks workers with room: fullest first, fast ones before slow ones.
func (p *planner) cost(s *Step, worker int) float64 {
	w := &p.Workers[worker]
	left := w.Free.Sub(s.Needs)
	cost := float64(left.MilliCPU)/float64(max(1, w.Capacity.MilliCPU)) + slownessCost*(max(w.Slowness, 1)-1)
	if s.Affinity != "" && w.Rack == s.Affinity {
		cost -= affinityGain
	}
	if s.Avoid[worker] {
		cost += avoidCost
	}
	return cost
}

func (p *planner) giveBack(s *Step, chosen []int) {
	for _, i := range chosen {
		w := &p.Workers[i]
		w.Free = w.Free.Add(s.Needs)
		if p.delays(s, w) {
			w.spare = w.spare.Add(s.Needs)
		}
	}
}

func (p *planner) fits(s *Step, worker int) bool {
	return p.allowed(s, worker) && s.Needs.Fits(p.Workers[worker].Free)
}

// toAsk names the workers that are likely to have room soonest.
func (p *planner) toAsk(s *Step) []int {
	type ranked struct {
		worker int
		at     time.Time
		spread uint64
	}
	var ranking []ranked
	for i := range p.Workers {
		w := &p.Workers[i]
		if !w.Open || s.Asked != nil && s.Asked(i) || s.Label != "" && !slices.Contains(w.Labels, s.Label) || !s.Needs.Fits(w.Capacity) {
			continue
		}
		times := p.slots(s, i, 1)
		if len(times) == 0 {
			continue
		}
		ranking = append(ranking, ranked{worker: i, at: times[0], spread: (s.Seed + uint64(i)) * spreadFactor})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.spread, b.spread))
	})
	n := min(len(ranking), max(minAsk, min(maxAsk, askPerTask*s.Tasks)))
	workers := make([]int, n)
	for i := range workers {
		workers[i] = ranking[i].worker
	}
	return workers
}

// slots returns when a worker has room for one, two and more tasks of a step,
// as far as the expected ends tell.
func (p *planner) slots(s *Step, worker, most int) []time.Time {
	w := &p.Workers[worker]
	free := w.Free
	var times []time.Time
	at := p.Now
	next := 0
	for len(times) < most {
		if s.MaxPerWorker > 0 && s.Placed[worker]+len(times) >= s.MaxPerWorker {
			return times
		}
		for !s.Needs.Fits(free) {
			releases := p.releasesOf(worker)
			if next == len(releases) {
				return times
			}
			free = free.Add(releases[next].Frees)
			if releases[next].At.After(at) {
				at = releases[next].At
			}
			next++
		}
		free = free.Sub(s.Needs)
		times = append(times, at)
	}
	return times
}

// reserve marks the workers on which a gang that does not fit now fits first,
// and returns them with the expected start; none if it reserves nothing.
func (p *planner) reserve(s *Step) ([]int, time.Time) {
	if !s.Gang || p.reservations <= 0 {
		return nil, time.Time{}
	}
	type slot struct {
		worker int
		at     time.Time
	}
	var slots []slot
	for _, i := range p.eligible(s, false) {
		for _, at := range p.slots(s, i, s.Tasks) {
			slots = append(slots, slot{worker: i, at: at})
		}
	}
	if len(slots) < s.Tasks {
		return nil, time.Time{}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return a.at.Compare(b.at) })
	start := slots[s.Tasks-1].at
	if start.Sub(p.Now) > reservationHorizon {
		return nil, time.Time{}
	}
	p.reservations--
	var workers []int
	for _, slot := range slots[:s.Tasks] {
		p.reserveOn(slot.worker, s.Needs, start)
		workers = append(workers, slot.worker)
	}
	return workers, start
}

// reserveOn keeps room for one task on a worker from a time on.
func (p *planner) reserveOn(worker int, needs lovagestand.Resources, start time.Time) {
	w := &p.Workers[worker]
	if w.reservedUntil.IsZero() {
		w.spare = w.Free
	}
	for _, r := range p.releasesOf(worker) {
		if r.At.After(w.reservedUntil) && !r.At.After(start) {
			w.spare = w.spare.Add(r.Frees)
		}
	}
	if start.After(w.reservedUntil) {
		w.reservedUntil = start
	}
	w.spare = w.spare.Sub(needs)
}
