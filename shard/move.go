package shard

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// moveAfter is how long no worker of the shard must have been able to hold the steps
	// of a job before the job is moved to another shard. A worker that restarts is missing
	// for a shorter time.
	moveAfter = time.Second
	// maxMovePauseDoublings bounds the pause before a job is moved because workers are absent,
	// which doubles with each move: no list shows which workers of other shards are.
	maxMovePauseDoublings = 10
	// moveTimeout bounds one call to the owner of the other shard, and moveRetryDelay is the
	// pause after a failed one.
	moveTimeout    = time.Second
	moveRetryDelay = 200 * time.Millisecond
	// maxMovesInFlight bounds the jobs that are passed on at the same time.
	maxMovesInFlight = 16
	// moveSinceUnplaceable, moveSinceDenied, moveSinceAbsent and moveForLoad are the reasons
	// for moves in the metrics.
	moveSinceUnplaceable = "unplaceable"
	moveSinceAbsent      = "absent"
	moveSinceDenied      = "denied"
	moveForLoad          = "load"
)

// moveState describes the move of a job to another shard. docs/design/platform.md describes
// the protocol.
type moveState struct {
	// count is how often the job has been moved, including the move that goes on.
	count int
	// target is the shard that the job is being moved to or was moved to; empty otherwise.
	target string
	// moved reports whether the owner of that shard has stored the job.
	moved bool
	// position is the position in the write queue of the record of the move.
	position int64
	// calling reports whether a call is in flight. The next call, or the next search for a
	// shard, is due at retryAt.
	calling bool
	retryAt time.Time
	// blockedSince is since when all waiting steps of the job are unplaceable in the shard, as
	// of the pass with the number blockedPass. placeablePass is the number of the last
	// pass in which a worker could hold one of them.
	blockedSince               time.Time
	blockedPass, placeablePass int64
	// waitingSince is since when the job has waited without a run, as of the pass with the
	// number waitingPass; see [Shard.recordWaits].
	waitingSince time.Time
	waitingPass  int64
	// arrivedAt is when the job was moved here; zero if it was not, or by a former owner.
	arrivedAt time.Time
	// tasks are those that wait for the room because of which the job moves for the load.
	tasks []dispatch.WaitingTasks
	// refusedBy holds the shards in which the ID belongs to a job of another team.
	refusedBy []string
	// deniedIn holds the shards that the job has left because policy allows it on too few
	// of their workers, with the number of workers there that could hold a task of it. It is
	// stored with the job, so that these moves end.
	deniedIn map[string]int
}

// leaving reports whether the job is being moved or was moved to another shard.
func (m *moveState) leaving() bool { return m.target != "" }

// moveUnplaceable starts to move the jobs of which no step can run in this shard to shards
// with workers that can hold them, and goes on with the moves that were started.
func (s *Shard) moveUnplaceable(p *pass) {
	if s.deps.Move == nil || !s.resolved {
		return
	}
	s.blockedPasses++
	for i := range p.waiting {
		p.waiting[i].entry.move.placeablePass = s.blockedPasses
	}
	for i := range p.unplaceable {
		s.considerMove(p, p.unplaceable[i].entry)
	}
	for _, e := range s.moving {
		s.callMove(e, p.now)
	}
}

// considerMove starts to move a job once it has been blocked for moveAfter.
func (s *Shard) considerMove(p *pass, e *jobEntry) {
	m := &e.move
	if m.blockedPass == s.blockedPasses {
		return
	}
	if m.blockedPass != s.blockedPasses-1 {
		m.blockedSince = p.now
	}
	m.blockedPass = s.blockedPasses
	blocked := m.placeablePass != s.blockedPasses && len(e.heldRuns) == 0 && len(e.active) == 0
	if !blocked || p.now.Sub(m.blockedSince) < moveAfter || p.now.Before(m.retryAt) {
		return
	}
	var without []string
	reason, message := moveSinceUnplaceable, "job is being moved: no worker of the shard can hold it"
	switch {
	case p.unplaceableFor(e, causeDenied):
		s.moveDenied(p, e)
		return
	case p.unplaceableFor(e, causeAbsent):
		if p.now.Sub(m.blockedSince) < moveAfter<<min(m.count, maxMovePauseDoublings) {
			return
		}
		without = s.stillDenied(e, p.unplaceableSteps(e))
		reason, message = moveSinceAbsent, "job is being moved: the workers of the shard that can hold it do not answer or are closed"
	}
	target, ok := s.moveTarget(p, e, without)
	if !ok {
		m.retryAt = p.now.Add(moveAfter)
		return
	}
	s.startMove(e, target, reason)
	s.log.Info().Str("job", string(e.id)).Str("to", target).Int("moves", m.count).Msg(message)
}

// moveDenied starts to move a job that policy allows on too few workers of the shard: to the
// one with the most workers for it among the shards that it has not left for this reason, or
// that have more workers for it than when it did. If there are none, it returns to the one with
// the most workers of all, and stays there.
func (s *Shard) moveDenied(p *pass, e *jobEntry) {
	m := &e.move
	steps := p.unplaceableSteps(e)
	_, returned := m.deniedIn[s.term.Shard]
	target := s.roomiest(e, steps, s.stillDenied(e, steps))
	if target == "" && !returned {
		target = s.roomiest(e, steps, nil)
		if workersFor(s.holders(p), e, steps) >= workersFor(s.otherShards[target], e, steps) {
			target = ""
		}
	}
	if target == "" {
		m.retryAt = p.now.Add(moveAfter)
		return
	}
	m.deniedIn = maps.Clone(m.deniedIn)
	if m.deniedIn == nil {
		m.deniedIn = map[string]int{}
	}
	m.deniedIn[s.term.Shard] = workersFor(s.holders(p), e, steps)
	s.startMove(e, target, moveSinceDenied)
	s.log.Info().Str("job", string(e.id)).Str("to", target).Int("moves", m.count).Strs("left", slices.Sorted(maps.Keys(m.deniedIn))).Msg("job is being moved: policy allows it on too few workers of the shard")
}

// stillDenied returns the shards that a job has left because policy allows it on too few of
// their workers, without those that have more workers for its steps than when it did. Workers
// that were leaving or restarting at that time may be allowed.
func (s *Shard) stillDenied(e *jobEntry, steps []job.Step) []string {
	var names []string
	for name, workers := range e.move.deniedIn {
		if workersFor(s.otherShards[name], e, steps) <= workers {
			names = append(names, name)
		}
	}
	return names
}

// roomiest returns the other shard, without some, that can hold the steps of a job and has the
// most workers for them; empty if there is none.
func (s *Shard) roomiest(e *jobEntry, steps []job.Step, without []string) string {
	best, most := "", 0
	for _, name := range slices.Sorted(maps.Keys(s.otherShards)) {
		workers := s.otherShards[name]
		if slices.Contains(without, name) || slices.Contains(e.move.refusedBy, name) || !holdsAll(workers, e, steps) {
			continue
		}
		if n := workersFor(workers, e, steps); n > most {
			best, most = name, n
		}
	}
	return best
}

// workersFor returns how many workers can hold a task of the steps of a job, for each step.
func workersFor(workers []dispatch.Worker, e *jobEntry, steps []job.Step) int {
	n := 0
	for i := range steps {
		shape := shapeOf(e, &steps[i])
		for k := range workers {
			n += shape.Slots(workers[k:k+1], 1)
		}
	}
	return n
}

// unplaceableFor reports whether a step of a job is unplaceable for a cause.
func (p *pass) unplaceableFor(e *jobEntry, cause unplaceableCause) bool {
	return slices.ContainsFunc(p.unplaceable, func(w waitingStep) bool { return w.entry == e && w.cause == cause })
}

// startMove starts to move a job. Its tickets and pending requests for advice are dropped,
// as are the workers that are held for it.
func (s *Shard) startMove(e *jobEntry, target, reason string) {
	m := &e.move
	m.target, m.count = target, m.count+1
	clear(e.steps)
	s.moving[e.id] = e
	s.enqueue(e)
	m.position = e.queuePosition
	s.deps.Recorder.Count("moves", target+"."+reason)
}

// moveTarget returns a shard, without some, whose workers can hold the waiting steps of a job,
// another one after each move if there are several. It prefers the shards that can hold all of
// its steps.
func (s *Shard) moveTarget(p *pass, e *jobEntry, without []string) (string, bool) {
	var waiting, whole []string
	for name, workers := range s.otherShards {
		if slices.Contains(e.move.refusedBy, name) || slices.Contains(without, name) {
			continue
		}
		if holdsAll(workers, e, p.unplaceableSteps(e)) {
			waiting = append(waiting, name)
		}
		if holdsAll(workers, e, e.progress.Job().Steps) {
			whole = append(whole, name)
		}
	}
	if len(whole) == 0 {
		whole = waiting
	}
	if len(whole) == 0 {
		return "", false
	}
	slices.Sort(whole)
	return whole[xxhash.Sum64String(fmt.Sprint(e.id, e.move.count))%uint64(len(whole))], true
}

// unplaceableSteps returns the waiting steps of a job that are unplaceable in the shard.
func (p *pass) unplaceableSteps(e *jobEntry) []job.Step {
	var steps []job.Step
	for i := range p.unplaceable {
		if p.unplaceable[i].entry == e {
			steps = append(steps, *p.unplaceable[i].step)
		}
	}
	return steps
}

// holdsAll reports whether workers can hold each of the steps of a job.
func holdsAll(workers []dispatch.Worker, e *jobEntry, steps []job.Step) bool {
	for i := range steps {
		tasks := steps[i].MinStart()
		if shapeOf(e, &steps[i]).Slots(workers, tasks) < tasks {
			return false
		}
	}
	return true
}

// holders returns the workers of a list that can be given tasks, for [dispatch.Shape.Slots].
func holders(list []lovagestand.FleetWorker) []dispatch.Worker {
	var workers []dispatch.Worker
	for _, w := range list {
		if w.Ready {
			workers = append(workers, dispatch.Worker{Service: w.Service, Labels: w.Labels, Capacity: w.Capacity})
		}
	}
	return workers
}

// callMove passes a job on to the owner of the other shard if its move is stored: from then
// on no owner of this shard starts a task of it.
func (s *Shard) callMove(e *jobEntry, now time.Time) {
	m := &e.move
	if e.final() {
		// The end of a run that was listed late has ended the job.
		delete(s.moving, e.id)
		m.target = ""
		return
	}
	if m.calling || m.position > s.writtenPosition || now.Before(m.retryAt) || s.movesInFlight >= maxMovesInFlight {
		return
	}
	value, err := s.encode(e)
	if err != nil {
		s.log.Error().Err(err).Str("job", string(e.id)).Msg("cannot encode a job for another shard")
		return
	}
	m.calling = true
	s.movesInFlight++
	go s.sendMove(e, m.target, m.count, value)
}

// sendMove passes a job on and records the outcome, unless the job has come back meanwhile.
func (s *Shard) sendMove(e *jobEntry, target string, count int, value []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, moveTimeout)
	err := s.deps.Move(ctx, target, e.id, value)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &e.move
	m.calling = false
	s.movesInFlight--
	if s.ctx.Err() != nil {
		return
	}
	var otherTeam *OtherTeamError
	switch {
	case e.progress == nil || !m.leaving() || m.count != count:
	case err == nil:
		s.finishMove(e)
	case errors.As(err, &otherTeam):
		s.log.Warn().Str("job", string(e.id)).Str("to", target).Msg("job not moved: its ID belongs to a job of another team there")
		delete(s.moving, e.id)
		m.tasks = nil
		m.refusedBy, m.target, m.blockedSince = append(m.refusedBy, target), "", time.Now()
		m.deniedIn = maps.Clone(m.deniedIn)
		delete(m.deniedIn, s.term.Shard)
		s.enqueue(e)
	default:
		m.retryAt = time.Now().Add(moveRetryDelay)
		s.log.Warn().Err(err).Str("job", string(e.id)).Str("to", target).Msg("job not moved yet; trying again")
	}
	s.wake()
}

// finishMove records that the other shard has stored a job. What remains of it here answers
// late duplicates of its submission, for as long as a finished job does.
func (s *Shard) finishMove(e *jobEntry) {
	s.log.Info().Str("job", string(e.id)).Str("to", e.move.target).Msg("job moved")
	delete(s.moving, e.id)
	delete(s.live, e.id)
	s.recordArrival(e, time.Now())
	e.move.moved, e.finishedAt, e.phase = true, time.Now(), e.progress.Phase()
	e.progress, e.body, e.steps = nil, nil, nil
	s.weigh(e)
	s.enqueue(e)
}

// checkMoved removes what remains of a job that was moved to another shard, unless the owner
// of that shard still knows the job. It is then kept for another retention, so that a late
// duplicate of the submission does not run the job here.
func (s *Shard) checkMoved(e *jobEntry) {
	if e.move.calling || s.movesInFlight >= maxMovesInFlight {
		return
	}
	e.move.calling = true
	s.movesInFlight++
	go func(target string) {
		ctx, cancel := context.WithTimeout(s.ctx, moveTimeout)
		known, err := s.deps.Knows(ctx, target, e.id)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		e.move.calling = false
		s.movesInFlight--
		switch {
		case err != nil || !e.move.moved:
		case known:
			e.finishedAt = time.Now()
		default:
			e.expired = true
			s.enqueue(e)
		}
	}(e.move.target)
}

// Knows reports whether a job is known in the shard, including one that has ended or was
// moved on. It fails if the ownership cannot be confirmed.
func (s *Shard) Knows(ctx context.Context, id job.ID) (bool, error) {
	s.mu.Lock()
	e, known := s.jobs[id]
	known = known && !e.unsubmitted || s.unreadable[id]
	s.mu.Unlock()
	if !known && !s.confirmOwnership(ctx) {
		return false, &NotOwnerError{}
	}
	return known, nil
}

// Receive accepts a job that the owner of another shard passes on, and returns once it is
// durable. The value is the record of the job as the other shard has stored it. A call for
// a move that is known changes nothing.
func (s *Shard) Receive(ctx context.Context, id job.ID, value []byte) error {
	r, body, err := job.DecodeRecord(value)
	if err != nil {
		return err
	}
	j, err := job.DecodeJob(body)
	if err != nil {
		return err
	}
	progress, err := job.Restore(j, r)
	if err != nil {
		return err
	}
	if j.ID != id {
		return &job.RecordError{ID: id}
	}
	s.mu.Lock()
	e, known := s.jobs[id]
	switch {
	case known && !e.unsubmitted && !e.visibleTo(j.Team):
		s.mu.Unlock()
		return &OtherTeamError{}
	case known && !e.unsubmitted && e.move.count >= r.Moves && e.durable:
		s.mu.Unlock()
		return nil
	case s.unreadable[id]:
		s.mu.Unlock()
		return &UnknownError{}
	case s.closing:
		s.mu.Unlock()
		return &NotOwnerError{}
	case known && e.unsubmitted && e.cancelled(j.Team):
		s.log.Info().Str("job", string(id)).Msg("job was cancelled before it was moved here")
		e.unsubmitted, e.durable, e.route, e.team, e.cancelledBy = false, false, j.Policy.Route, j.Team, nil
		e.move.count = r.Moves
	case !known || e.unsubmitted || e.move.count < r.Moves:
		if err := s.checkMemory(id, weightOf(j, body)); err != nil {
			s.mu.Unlock()
			return err
		}
		e = s.acceptMoved(e, progress, body, r)
	}
	s.enqueue(e)
	done := s.addWaiter(e)
	s.mu.Unlock()
	return s.awaitWrite(ctx, e, done)
}

// acceptMoved adds a job that comes from another shard, where none of its tasks runs any
// more. It takes the place of what remains of it here from an earlier move.
func (s *Shard) acceptMoved(former *jobEntry, progress *job.Progress, body []byte, r job.Record) *jobEntry {
	progress.ReserveRuns(s.firstRunAfter(progress, time.Now()))
	e := newJobEntry(progress, body)
	s.estimateWork(e)
	e = s.accept(former, e)
	delete(s.moving, e.id)
	e.move = moveState{count: r.Moves, deniedIn: r.DeniedIn, arrivedAt: time.Now()}
	return e
}
