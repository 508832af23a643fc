package placer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/nanos"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// maxWindow is the longest time that one call waits for an answer.
const maxWindow = 30 * time.Second

// Handler returns the handler of the placer's twirp service and the path under
// which to serve it.
func (p *Placer) Handler() (string, http.Handler) {
	server := placerpb.NewPlacerServer(p)
	return server.PathPrefix(), server
}

var _ placerpb.Placer = (*Placer)(nil)

// Place implements [placerpb.Placer].
func (p *Placer) Place(ctx context.Context, request *placerpb.PlaceRequest) (*placerpb.PlaceReply, error) {
	s, ok := p.shard(lovagestand.ShardName(request.GetShard()))
	if !ok || time.Now().After(nanos.ToTime(request.GetDeliverBy())) {
		return notOwnerReply(), nil
	}
	window, cancel := context.WithTimeout(ctx, windowOf(request.GetWindowMillis()))
	defer cancel()
	select {
	case <-s.ready:
	case <-s.closed:
		return notOwnerReply(), nil
	case <-window.Done():
		return waitingReply(), nil
	}
	task := TaskOf(request.GetTask())
	full := p.bodyError(task, len(request.GetBody()))
	r, reply := s.attach(time.Now(), task, request.GetBody(), full, request.GetResubmitted())
	if reply != nil {
		return reply, nil
	}
	return s.awaitAnswer(window, r), nil
}

// Cancel implements [placerpb.Placer].
func (p *Placer) Cancel(_ context.Context, request *placerpb.CancelRequest) (*placerpb.CancelReply, error) {
	if request.GetTask() != nil {
		return p.withdraw(request), nil
	}
	for _, s := range p.openShards() {
		if a, ok := s.cancel(time.Now(), lovagestand.RequestKey(request.GetKey())); ok {
			return &placerpb.CancelReply{Found: true, Answer: AnswerMessage(a)}, nil
		}
	}
	return &placerpb.CancelReply{}, nil
}

func (p *Placer) withdraw(request *placerpb.CancelRequest) *placerpb.CancelReply {
	s, ok := p.shard(lovagestand.ShardName(request.GetShard()))
	if !ok {
		return &placerpb.CancelReply{}
	}
	a, ok := s.withdraw(time.Now(), TaskOf(request.GetTask()))
	if !ok {
		return &placerpb.CancelReply{}
	}
	return &placerpb.CancelReply{Found: true, Answer: AnswerMessage(a)}
}

// Find implements [placerpb.Placer].
func (p *Placer) Find(ctx context.Context, request *placerpb.FindRequest) (*placerpb.FindReply, error) {
	window, cancel := context.WithTimeout(ctx, windowOf(request.GetWindowMillis()))
	defer cancel()
	for _, s := range p.openShards() {
		r, ok := s.find(lovagestand.RequestKey(request.GetKey()))
		if !ok {
			continue
		}
		reply := s.awaitAnswer(window, r)
		return &placerpb.FindReply{Found: true, Answer: reply.GetAnswer()}, nil
	}
	return &placerpb.FindReply{}, nil
}

func windowOf(millis int64) time.Duration {
	return min(time.Duration(millis)*time.Millisecond, maxWindow)
}

func notOwnerReply() *placerpb.PlaceReply {
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_NOT_OWNER}
}

func waitingReply() *placerpb.PlaceReply {
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_WAITING}
}

func finalReply(a lovagestand.Answer) *placerpb.PlaceReply {
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_FINAL, Answer: AnswerMessage(a)}
}

// attach returns the request of a task, adding it if the shard does not hold it
// yet, unless full is the error that there is no room for its body. If there is nothing to
// wait for, it returns a reply instead.
func (s *shard) attach(now time.Time, task lovagestand.Task, body []byte, full error, resubmitted bool) (*request, *placerpb.PlaceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.requests[task.ID]; ok {
		if r.withdrawn {
			return nil, finalReply(r.answer)
		}
		s.supplyBody(now, r, body)
		return r, nil
	}
	if _, ok := s.lease(now); !ok || s.draining {
		return nil, notOwnerReply()
	}
	r := newRequest(task, s.epoch)
	if resubmitted {
		if s.mayStillRun(now, task) {
			return nil, waitingReply()
		}
		earlierStart := s.earlierStartReason(task)
		if earlierStart != "" && !task.Idempotent {
			return nil, finalReply(lovagestand.UnknownAnswer(task.Key, earlierStart))
		}
		if earlierStart != "" {
			r.markSent()
		}
	}
	if !task.StartBy.IsZero() && now.After(task.StartBy) {
		s.addRequest(r)
		s.expire(now, r.parts[0], "the time to start had passed", 0)
		return r, nil
	}
	err := full
	if err == nil {
		s.setBody(r, body)
		r.hasBody = true
		err = s.submit(now, r)
	}
	if err != nil {
		earlierStart := r.started()
		s.markWithdrawn(now, r, err.Error())
		reply := rejectionReply(err)
		reply.Doubt = earlierStart
		return nil, reply
	}
	return r, nil
}

// markWithdrawn retains the ID of a task that was not queued, so that a delayed
// call cannot queue the task later.
func (s *shard) markWithdrawn(now time.Time, r *request, reason string) {
	r.withdrawn = true
	if r.started() {
		r.finish(now, lovagestand.UnknownAnswer(r.task.Key, "an earlier owner may have started it; "+reason))
	} else {
		r.finish(now, lovagestand.NotRunAnswer(r.task.Key, reason, 0))
	}
	s.setBody(r, nil)
	r.parts = nil
	s.requests[r.task.ID] = r
}

// withdraw gives up a task at the request of an entry and returns the answer of
// its request. If the shard does not hold the task and no earlier owner can
// have started it, withdraw prevents it from being queued later and answers
// that it did not run. It returns false if an earlier owner may have started a
// task that the shard does not hold, if the ownership lease is not in force, or
// if the shard has not been rebuilt.
func (s *shard) withdraw(now time.Time, task lovagestand.Task) (lovagestand.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.lease(now); !ok || !s.isReady {
		return lovagestand.Answer{}, false
	}
	if r, ok := s.requests[task.ID]; ok {
		return s.cancelRequest(now, r), true
	}
	if s.earlierStartReason(task) != "" {
		return lovagestand.Answer{}, false
	}
	r := newRequest(task, s.epoch)
	s.markWithdrawn(now, r, "withdrawn")
	return r.answer, true
}

// supplyBody supplies the body of a request that was found on a worker, and
// continues the parts that were blocked without it.
func (s *shard) supplyBody(now time.Time, r *request, body []byte) {
	if r.hasBody || r.final() {
		return
	}
	s.setBody(r, body)
	r.hasBody = true
	for _, p := range r.parts {
		if p.state == partBlocked {
			s.afterAttempt(now, p)
		}
	}
}

// mayStillRun reports whether a task that is exclusive or not idempotent may
// still run on a worker that did not reply and whose task leases have not
// lapsed yet.
func (s *shard) mayStillRun(now time.Time, task lovagestand.Task) bool {
	if task.Idempotent && !task.Exclusive {
		return false
	}
	for _, leaseEnd := range s.unread {
		if now.Before(leaseEnd) {
			return true
		}
	}
	return false
}

// earlierStartReason returns the reason why an earlier owner may have started a
// task that the shard does not hold. It is empty if no earlier owner can have
// started it.
func (s *shard) earlierStartReason(task lovagestand.Task) string {
	if len(s.unread) > 0 {
		return "a worker that may have run it was lost"
	}
	if s.deps.Members.FirstReadAt().After(task.Submitted) {
		return "a worker may have run it and left before this instance joined"
	}
	return ""
}

func rejectionReply(err error) *placerpb.PlaceReply {
	var full *lovagestand.QueueFullError
	if errors.As(err, &full) {
		return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_FULL, Reason: err.Error(), RetryAfter: int64(full.RetryAfter)}
	}
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_UNFIT, Reason: err.Error()}
}

// awaitAnswer waits until a request has its final answer, the shard closes or
// the window ends.
func (s *shard) awaitAnswer(window context.Context, r *request) *placerpb.PlaceReply {
	select {
	case <-r.done:
		return finalReply(r.answer)
	default:
	}
	select {
	case <-r.done:
		return finalReply(r.answer)
	case <-s.closed:
		// This shard held the request and may have started it.
		reply := notOwnerReply()
		reply.Doubt = true
		return reply
	case <-window.Done():
		return waitingReply()
	}
}

func (s *shard) find(key lovagestand.RequestKey) (*request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byKey[key]
	return r, ok
}

// cancel cancels a request. A request that has not started is answered at once.
// A running one is stopped and is answered when its worker has confirmed the
// stop.
func (s *shard) cancel(now time.Time, key lovagestand.RequestKey) (lovagestand.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byKey[key]
	if !ok {
		return lovagestand.Answer{}, false
	}
	if _, ok := s.lease(now); !ok && !r.final() {
		// Another owner may start the request.
		return lovagestand.Answer{}, false
	}
	return s.cancelRequest(now, r), true
}

func (s *shard) cancelRequest(now time.Time, r *request) lovagestand.Answer {
	if r.final() {
		return r.answer
	}
	r.cancelled = true
	if !r.started() {
		s.finish(now, r, lovagestand.NotRunAnswer(r.task.Key, "cancelled by the caller", 0))
		return r.answer
	}
	for _, p := range r.parts {
		s.cancelPart(now, p)
	}
	return r.answer
}

func (s *shard) cancelPart(now time.Time, p *part) {
	switch p.state {
	case partQueued, partBlocked:
		s.decider.Cancel(p.task.ID)
		p.state = partEnded
		p.phase = lovagestand.TaskStopped
		s.finishIfEnded(now, p.request)
	case partRunning:
		s.stopAsync(p)
	case partStarting, partStopping, partEnded:
	}
}
