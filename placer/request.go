package placer

import (
	"encoding/json"
	"time"

	"lovagestand.example/lovagestand"
)

// partState says what a placer knows of one part of a request.
type partState int

const (
	// partQueued waits in the decider.
	partQueued partState = iota
	// partStarting was sent to a worker that has not confirmed it.
	partStarting
	// partRunning runs on a worker.
	partRunning
	// partStopping is being checkpointed or stopped.
	partStopping
	// partBlocked must be started again and lacks the request's body.
	partBlocked
	// partEnded has ended for good.
	partEnded
)

// part is one task of a request; a gang has several.
type part struct {
	request *request
	attempt attempt
	// task is the current attempt as the decider knows it.
	task   lovagestand.Task
	state  partState
	worker lovagestand.WorkerName
	// sent says that some attempt may have reached a worker.
	sent bool
	// refusals counts the workers that refused the part.
	refusals int
	// confirmedAt is when the worker was known to hold the current attempt.
	confirmedAt time.Time
	startedAt   time.Time
	phase       lovagestand.TaskPhase
	usage       usage
	checkpoint  []byte
	body        []byte
	reason      string
}

// request is what a placer holds of one request.
type request struct {
	// task describes the whole request; its ID is shared by all attempts.
	task lovagestand.Task
	// body is what the caller sent; nil until an entry attaches to a request
	// that was found on a worker.
	body      []byte
	hasBody   bool
	parts     []*part
	answer    lovagestand.Answer
	done      chan struct{}
	cancelled bool
	// withdrawn says that the request was never queued and must not be.
	withdrawn bool
	// keyMayHaveRun says that an earlier request with the same key may have run here.
	keyMayHaveRun bool
	// restarting says that a gang is being stopped to be started again whole.
	restarting bool
	// answeredAt is when the answer became final.
	answeredAt time.Time
}

// newRequest returns a request with all of its parts queued for a first
// attempt.
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

// final reports whether the request has its answer.
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

// mayHaveRun reports whether a request with the key has run here or may yet.
func (r *request) mayHaveRun() bool {
	return r.keyMayHaveRun || r.started() || r.answer.Outcome != lovagestand.OutcomeNotRun
}

// markSent records that an earlier owner may have sent the request to a
// worker.
func (r *request) markSent() {
	for _, p := range r.parts {
		p.sent = true
	}
}

// finish makes the answer final; later calls change nothing.
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

// result puts the answers of the ended parts together: the body of the only
// part, or a JSON array of the bodies in the order of the parts.
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

// setAttempt makes a the current attempt of the part, to be queued.
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

// placed reports whether the part takes resources of a worker.
func (p *part) placed() bool {
	return p.state == partStarting || p.state == partRunning || p.state == partStopping
}

// unseen reports whether the shard has not placed the current attempt and no
// worker has shown it: one part of a gang that was found on a worker names the
// others, too.
func (p *part) unseen() bool {
	return p.phase == "" && (p.state == partBlocked || p.state == partQueued)
}

// nextAttempt returns the attempt after the current one, made by the owner of an
// epoch.
func (p *part) nextAttempt(epoch lovagestand.Epoch) attempt {
	a := p.attempt
	a.Number++
	a.Epoch = epoch
	return a
}
