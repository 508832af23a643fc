package placer

import (
	"encoding/json"
	"time"

	"lovagestand.example/lovagestand"
)

// partState is the state of one part of a request.
type partState int

const (
	// partQueued means that the part waits in the decider.
	partQueued partState = iota
	// partStarting means that the decider has placed the part and its worker
	// has not confirmed the start.
	partStarting
	// partRunning means that the part runs on a worker.
	partRunning
	// partStopping means that the part is being checkpointed, which stops it.
	partStopping
	// partBlocked means that the part cannot be queued yet, because the body of
	// its request is missing or a preemption has not been completed.
	partBlocked
	// partEnded means that the part has ended and is not queued again unless its
	// whole gang restarts.
	partEnded
)

// part is one task of a request. Only a gang has several parts.
type part struct {
	request *request
	attempt attempt
	// task is the current attempt as it was passed to the decider.
	task   lovagestand.Task
	state  partState
	worker lovagestand.WorkerName
	// sent is set if any attempt at the part may have reached a worker.
	sent bool
	// refusals counts how often workers refused the part.
	refusals int
	// confirmedAt is when a worker was first found to hold the current attempt.
	confirmedAt time.Time
	startedAt   time.Time
	phase       lovagestand.TaskPhase
	usage       usage
	checkpoint  []byte
	body        []byte
	reason      string
}

// request is the state that a placer holds about one request.
type request struct {
	// task describes the whole request; its ID is shared by all attempts.
	task lovagestand.Task
	// body is what the caller sent. It is nil for a request that was found on a
	// worker until an entry attaches to the request.
	body      []byte
	hasBody   bool
	parts     []*part
	answer    lovagestand.Answer
	done      chan struct{}
	cancelled bool
	// withdrawn is set if the request was never queued and must not be queued.
	withdrawn bool
	// keyMayHaveRun is set if an earlier request with the same key may have run
	// here.
	keyMayHaveRun bool
	// restarting is set while the parts of a gang are stopped so that the gang
	// can start again as a whole.
	restarting bool
	// answeredAt is when the answer became final.
	answeredAt time.Time
}

// newRequest returns a request with a first attempt at each of its parts in
// state partQueued.
func newRequest(task lovagestand.Task, epoch lovagestand.Epoch) *request {
	r := &request{task: task, done: make(chan struct{})}
	r.answer = lovagestand.Answer{Key: task.Key, Outcome: lovagestand.OutcomeWaiting, Task: task.ID}
	for i := range max(task.GangSize, 1) {
		p := &part{request: r}
		p.setAttempt(attempt{Request: task.ID, Part: i, Number: 1, Epoch: epoch})
		r.parts = append(r.parts, p)
	}
	return r
}

// final reports whether the request has its final answer.
func (r *request) final() bool {
	return r.answer.Outcome.Final()
}

// started reports whether any part may have reached a worker.
func (r *request) started() bool {
	for _, p := range r.parts {
		if p.sent {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether a request with the same key may have run here or
// may still run here.
func (r *request) mayHaveRun() bool {
	return r.keyMayHaveRun || r.started() || r.answer.Outcome != lovagestand.OutcomeNotRun
}

// markSent records that an earlier owner may have sent the request to a worker.
func (r *request) markSent() {
	for _, p := range r.parts {
		p.sent = true
	}
}

// finish sets the final answer. Later calls have no effect.
func (r *request) finish(now time.Time, a lovagestand.Answer) {
	if r.final() {
		return
	}
	a.Key = r.task.Key
	a.Task = r.task.ID
	r.answer = a
	r.answeredAt = now
	close(r.done)
}

// ended reports whether all parts have ended.
func (r *request) ended() bool {
	for _, p := range r.parts {
		if p.state != partEnded {
			return false
		}
	}
	return true
}

// result combines the answers of the ended parts. The body is that of the only
// part, or for a gang a JSON array of the base64-encoded bodies in the order of
// the parts.
func (r *request) result() lovagestand.Answer {
	first := r.parts[0]
	a := lovagestand.Answer{Outcome: lovagestand.OutcomeDone, Worker: first.worker, Body: first.body}
	a.Waited = max(first.startedAt.Sub(r.task.Submitted), 0)
	for _, p := range r.parts {
		if p.phase == lovagestand.TaskDone {
			continue
		}
		a.Outcome = lovagestand.OutcomeFailed
		a.Reason = p.reason
		a.Worker = p.worker
	}
	if r.cancelled && a.Outcome != lovagestand.OutcomeDone {
		a.Outcome = lovagestand.OutcomeCancelled
	}
	if len(r.parts) > 1 {
		a.Body = joinBodies(r.parts)
	}
	return a
}

func joinBodies(parts []*part) []byte {
	bodies := make([][]byte, 0, len(parts))
	for _, p := range parts {
		bodies = append(bodies, p.body)
	}
	joined, err := json.Marshal(bodies)
	if err != nil {
		return nil
	}
	return joined
}

// setAttempt makes a the current attempt of the part and resets the part to
// partQueued.
func (p *part) setAttempt(a attempt) {
	p.attempt = a
	p.state = partQueued
	p.worker = ""
	p.phase = ""
	p.usage = usage{}
	p.confirmedAt = time.Time{}
	p.startedAt = time.Time{}
	p.task = p.request.task.WithID(a.ID())
	if p.request.task.GangSize > 1 {
		p.task.Gang = string(p.request.task.ID)
	}
}

// placed reports whether the part uses resources of a worker.
func (p *part) placed() bool {
	return p.state == partStarting || p.state == partRunning || p.state == partStopping
}

// unseen reports whether the current attempt has neither been placed by the
// shard nor reported by a worker. When one part of a gang is found on a worker,
// the other parts are created too and are unseen until a worker reports them.
func (p *part) unseen() bool {
	return p.phase == "" && (p.state == partBlocked || p.state == partQueued)
}

// nextAttempt returns the attempt that follows the current one, made by the
// owner of the given epoch.
func (p *part) nextAttempt(epoch lovagestand.Epoch) attempt {
	a := p.attempt
	a.Number++
	a.Epoch = epoch
	return a
}
