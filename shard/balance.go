package shard

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// loadQueryAfter is how long a job must have waited before the loads of the other shards
	// are queried. loadInterval is the minimum time between two rounds of queries, and
	// maxLoadQueries the number of shards in a round: a cell of many shards is queried in turn.
	loadQueryAfter = time.Second
	loadInterval   = 500 * time.Millisecond
	maxLoadQueries = 8
	// loadTimeout bounds one query.
	loadTimeout = 400 * time.Millisecond
	// soonHorizon is how far ahead the expected ends of runs count as room of the own shard.
	soonHorizon = 2 * time.Second
	// maxLoadMoves is the number of moves after which a job is not moved for the load again.
	// It counts moves for other reasons too.
	maxLoadMoves = 2
	// settleTime is how long a job that was moved stays at least.
	settleTime = 5 * time.Second
	// maxTargetUse is the fraction of the capacity in use or waited for from which a shard
	// tells no room to others.
	maxTargetUse = 0.8
)

// balancer is what a term records to move waiting jobs to shards with more room.
type balancer struct {
	// passes counts the passes. waiting is what the waiting steps of the last one need.
	passes  int64
	waiting lovagestand.Resources
	// loads holds the last answer of each other shard, failed the shards whose last query
	// has failed. queriedAt is when the last round of queries began, pending the number of
	// its queries without an outcome, and nextQuery where the next round begins in the
	// list of shards. fresh reports whether there are answers since the last decision.
	loads     map[string]otherLoad
	failed    map[string]bool
	queriedAt time.Time
	pending   int
	nextQuery int
	fresh     bool
	// arrivals holds the jobs that other shards have confirmed recently.
	arrivals []arrival
}

// otherLoad is the load of another shard as of a query that was sent at a time.
type otherLoad struct {
	dispatch.ShardLoad
	sentAt time.Time
}

// arrival is a job that another shard has confirmed at a time.
type arrival struct {
	target string
	at     time.Time
	tasks  []dispatch.WaitingTasks
}

// recordWaits records since when the jobs wait of which nothing runs, and queries the loads
// of the other shards if a job has waited for long.
func (s *Shard) recordWaits(p *pass) {
	b := &s.balancer
	b.passes++
	b.waiting = lovagestand.Resources{}
	longest := time.Duration(0)
	for i := range p.waiting {
		w := &p.waiting[i]
		m := &w.entry.move
		if len(w.entry.heldRuns) > 0 || len(w.entry.active) > 0 {
			continue
		}
		if m.waitingSince.IsZero() || m.waitingPass < b.passes-1 {
			m.waitingSince = p.now
		}
		m.waitingPass = b.passes
		longest = max(longest, p.now.Sub(m.waitingSince))
	}
	if longest >= loadQueryAfter {
		s.queryLoads(p.now)
	}
}

// recordDemand records what the waiting steps need that the caps of their teams leave to
// start. Others would not use the room in this shard.
func (s *Shard) recordDemand(p *pass) {
	for i := range p.waiting {
		s.balancer.waiting = s.balancer.waiting.Add(p.waiting[i].needs.Times(int64(p.waiting[i].tasks)))
	}
}

// queryLoads begins a round of queries, unless one is pending or has just begun.
func (s *Shard) queryLoads(now time.Time) {
	b := &s.balancer
	if s.deps.Load == nil || !s.resolved || b.pending > 0 || now.Sub(b.queriedAt) < loadInterval {
		return
	}
	b.queriedAt = now
	names := slices.Sorted(maps.Keys(s.otherShards))
	for range min(len(names), maxLoadQueries) {
		b.nextQuery++
		b.pending++
		go s.queryLoad(names[b.nextQuery%len(names)])
	}
}

// queryLoad queries the load of another shard. It logs when a shard ceases to answer or
// answers again.
func (s *Shard) queryLoad(name string) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
	load, err := s.deps.Load(ctx, name)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.balancer
	b.pending--
	if s.ctx.Err() != nil {
		return
	}
	if b.failed[name] != (err != nil) {
		b.failed[name] = err != nil
		s.log.Warn().Err(err).Str("other", name).Bool("answers", err == nil).Msg("load of another shard became unknown or known")
	}
	if err == nil {
		b.loads[name], b.fresh = otherLoad{ShardLoad: load, sentAt: sentAt}, true
	}
	s.wake()
}

// balance starts to move jobs to shards with more room once the loads of other shards have
// been queried. The steps of the pass are in the order of their ranks. While the store does not
// answer, jobs stay: until its move is stored, a job starts in neither shard.
func (s *Shard) balance(p *pass) {
	b := &s.balancer
	if !b.fresh || b.pending > 0 || s.deps.Move == nil || !s.resolved || s.stalled {
		return
	}
	b.fresh = false
	entries, jobs := s.waitingJobs(p)
	input := dispatch.Balancing{Own: s.ownLoad(p), Soon: s.releasedSoon(p), Jobs: jobs, Others: s.otherLoads(p.now), Senders: int64(len(s.otherShards))}
	for _, d := range dispatch.Balance(input) {
		e, other := entries[d.Job], &input.Others[d.To]
		e.move.tasks = jobs[d.Job].Steps
		s.startMove(e, other.Name, moveForLoad)
		s.log.Info().Str("job", string(e.id)).Str("to", other.Name).Int("moves", e.move.count).Dur("waited", jobs[d.Job].Waited).
			Float64("load", d.OwnUse).Float64("targetLoad", d.ToUse).Dur("loadAge", other.Age).Msg("job is being moved: another shard has more room")
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w waitingStep) bool { return w.entry.move.leaving() })
}

// waitingJobs returns the jobs with waiting steps by rank.
func (s *Shard) waitingJobs(p *pass) ([]*jobEntry, []dispatch.WaitingJob) {
	var entries []*jobEntry
	var jobs []dispatch.WaitingJob
	indexes := make(map[*jobEntry]int, len(p.waiting))
	for i := range p.waiting {
		w := &p.waiting[i]
		e := w.entry
		n, known := indexes[e]
		if !known {
			n = len(jobs)
			indexes[e] = n
			entries = append(entries, e)
			jobs = append(jobs, s.waitingJob(p, e))
		}
		jobs[n].Steps = append(jobs[n].Steps, dispatch.WaitingTasks{Shape: shapeOf(e, w.step), Tasks: w.tasks})
	}
	return entries, jobs
}

// waitingJob describes a job without its steps.
func (s *Shard) waitingJob(p *pass, e *jobEntry) dispatch.WaitingJob {
	denied := s.stillDenied(e, e.progress.Job().Steps)
	j := dispatch.WaitingJob{Movable: s.movableForLoad(p, e), AllowedShare: 1, MayMoveTo: func(name string) bool {
		return !slices.Contains(e.move.refusedBy, name) && !slices.Contains(denied, name) && holdsAll(s.otherShards[name], e, e.progress.Job().Steps)
	}}
	if e.move.waitingPass == s.balancer.passes {
		j.Waited = p.now.Sub(e.move.waitingSince)
	}
	if e.progress.Policy().Advice.Needed() {
		j.AllowedShare = s.statsOf(e).allowedShare()
	}
	return j
}

// movableForLoad reports whether a waiting job may be moved to a shard with more room:
// nothing of it runs or may run, and neither its data nor its team's share of a cap, a start
// time, crashes or kept room tie it to this shard.
func (s *Shard) movableForLoad(p *pass, e *jobEntry) bool {
	m, j := &e.move, e.progress.Job()
	switch {
	case len(e.heldRuns) > 0 || len(e.active) > 0 || e.progress.Crashed() || e.crashPosition > s.writtenPosition:
		return false
	case m.count >= maxLoadMoves || p.now.Sub(m.arrivedAt) < settleTime || m.blockedPass == s.blockedPasses:
		return false
	case j.Schedule != job.Schedule{} || e.team != "" && p.policies.Policy(e.team).Quota != nil:
		return false
	case slices.ContainsFunc(j.Steps, func(step job.Step) bool { return step.Affinity != "" }):
		return false
	}
	return !slices.ContainsFunc(s.kept, func(k *keptRoom) bool { return k.entry == e })
}

// releasedSoon returns what runs on open workers release that end soon.
func (s *Shard) releasedSoon(p *pass) lovagestand.Resources {
	var sum lovagestand.Resources
	for i, w := range p.workers {
		if !p.dispatchWorkers[i].Open {
			continue
		}
		for _, r := range s.runsOn(w) {
			if r.expectedEnd(p.now).Sub(p.now) <= soonHorizon {
				sum = sum.Add(r.needs)
			}
		}
	}
	return sum
}

// ownLoad returns the load of the shard without what waits and without rooms.
func (s *Shard) ownLoad(p *pass) dispatch.ShardLoad {
	load := dispatch.ShardLoad{Capacity: p.capacity()}
	for i := range p.dispatchWorkers {
		if w := &p.dispatchWorkers[i]; w.Open {
			load.Free = load.Free.Add(w.Free)
		}
	}
	return load
}

// otherLoads returns the loads of the other shards, by name, with what was sent there since.
func (s *Shard) otherLoads(now time.Time) []dispatch.OtherShard {
	b := &s.balancer
	var others []dispatch.OtherShard
	oldest := now
	for _, name := range slices.Sorted(maps.Keys(b.loads)) {
		load := b.loads[name]
		oldest = earlier(oldest, load.sentAt)
		other := dispatch.OtherShard{Name: name, Load: load.ShardLoad, Age: now.Sub(load.sentAt)}
		for _, a := range b.arrivals {
			if a.target == name && !a.at.Before(load.sentAt) {
				other.Sent = append(other.Sent, a.tasks...)
			}
		}
		for _, e := range s.moving {
			if e.move.target == name {
				other.Sent = append(other.Sent, e.move.tasks...)
			}
		}
		others = append(others, other)
	}
	b.arrivals = slices.DeleteFunc(b.arrivals, func(a arrival) bool { return a.at.Before(oldest) })
	return others
}

// recordArrival records that another shard has confirmed a job.
func (s *Shard) recordArrival(e *jobEntry, now time.Time) {
	if len(e.move.tasks) > 0 {
		s.balancer.arrivals = append(s.balancer.arrivals, arrival{target: e.move.target, at: now, tasks: e.move.tasks})
		e.move.tasks = nil
	}
}

// ShardLoad returns the load of the shard for owners of other shards. It fails while the
// ownership is not confirmed, former runs are not known or the store does not answer: jobs
// that are moved here would wait.
func (s *Shard) ShardLoad() (dispatch.ShardLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.stalled || !s.resolved || !s.deps.Confirmed() || !s.deps.Assured() {
		return dispatch.ShardLoad{}, &NotOwnerError{}
	}
	load := dispatch.ShardLoad{Waiting: s.balancer.waiting}
	var rooms roomList
	now := time.Now()
	for _, w := range s.sortedWorkers() {
		load.Capacity = load.Capacity.Add(w.info.Capacity)
		if s.open(w, now) {
			load.Free = load.Free.Add(w.free)
			rooms.add(w)
		}
	}
	if load.Use(lovagestand.Resources{MilliCPU: 1, MemoryMiB: 1}) < maxTargetUse {
		load.Rooms = rooms.list
	}
	return load, nil
}

// roomList collects rooms.
type roomList struct {
	list    []dispatch.WorkerRoom
	indexes map[roomKey]int
}

// roomKey identifies the workers that a room describes.
type roomKey struct {
	service, labels string
	free            lovagestand.Resources
}

// add adds the room on a worker, if there is any.
func (l *roomList) add(w *worker) {
	if w.free.MilliCPU <= 0 || w.free.MemoryMiB <= 0 {
		return
	}
	key := roomKey{service: w.info.Service, labels: strings.Join(w.info.Labels, "\n"), free: w.free}
	n, known := l.indexes[key]
	if !known {
		if l.indexes == nil {
			l.indexes = map[roomKey]int{}
		}
		n = len(l.list)
		l.indexes[key] = n
		l.list = append(l.list, dispatch.WorkerRoom{Service: w.info.Service, Labels: w.info.Labels, Free: w.free})
	}
	l.list[n].Workers++
}
