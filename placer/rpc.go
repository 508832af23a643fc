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

// maxWindow bounds how long one call waits for an answer.
const maxWindow = 30 * time.Second

// Handler returns the placer's twirp service and the path it is served under.
func (p *Placer) Handler() (string, http.Handler) {
	server := placerpb.NewPlacerServer(p)
	return server.PathPrefix(), server
}

var _ placerpb.Placer = (*Placer)(nil)

// Place implements the service.
func (p *Placer) Place(ctx context.Context, m *placerpb.PlaceRequest) (*placerpb.PlaceReply, error) {
	s, ok := p.shard(lovagestand.ShardName(m.GetShard()))
	if !ok || time.Now().After(nanos.Time(m.GetDeliverBy())) {
		return notOwner(), nil
	}
	window, cancel := context.WithTimeout(ctx, windowOf(m.GetWindowMillis()))
	defer cancel()
	select {
	case <-s.ready:
	case <-s.closed:
		return notOwner(), nil
	case <-window.Done():
		return waiting(), nil
	}
	r, reply := s.attach(time.Now(), TaskOf(m.GetTask()), m.GetBody(), m.GetResubmitted())
	if reply != nil {
		return reply, nil
	}
	return s.await(window, r), nil
}

// Cancel implements the service.
func (p *Placer) Cancel(_ context.Context, m *placerpb.CancelRequest) (*placerpb.CancelReply, error) {
	if m.GetTask() != nil {
		return p.withdraw(m), nil
	}
	for _, s := range p.sorted() {
		if a, ok := s.cancel(time.Now(), lovagestand.RequestKey(m.GetKey())); ok {
			return &placerpb.CancelReply{Found: true, Answer: AnswerMessage(a)}, nil
		}
	}
	return &placerpb.CancelReply{}, nil
}

func (p *Placer) withdraw(m *placerpb.CancelRequest) *placerpb.CancelReply {
	s, ok := p.shard(lovagestand.ShardName(m.GetShard()))
	if !ok {
		return &placerpb.CancelReply{}
	}
	a, ok := s.withdraw(time.Now(), TaskOf(m.GetTask()))
	if !ok {
		return &placerpb.CancelReply{}
	}
	return &placerpb.CancelReply{Found: true, Answer: AnswerMessage(a)}
}

// Find implements the service.
func (p *Placer) Find(ctx context.Context, m *placerpb.FindRequest) (*placerpb.FindReply, error) {
	window, cancel := context.WithTimeout(ctx, windowOf(m.GetWindowMillis()))
	defer cancel()
	for _, s := range p.sorted() {
		r, ok := s.find(lovagestand.RequestKey(m.GetKey()))
		if !ok {
			continue
		}
		reply := s.await(window, r)
		return &placerpb.FindReply{Found: true, Answer: reply.GetAnswer()}, nil
	}
	return &placerpb.FindReply{}, nil
}

func windowOf(millis int64) time.Duration {
	return min(time.Duration(millis)*time.Millisecond, maxWindow)
}

func notOwner() *placerpb.PlaceReply {
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_NOT_OWNER}
}

func waiting() *placerpb.PlaceReply {
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_WAITING}
}

func final(a lovagestand.Answer) *placerpb.PlaceReply {
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_FINAL, Answer: AnswerMessage(a)}
}

// attach returns the request of a task, entering it if the shard does not
// hold it yet, or a reply where nothing is to be waited for.
func (s *shard) attach(now time.Time, task lovagestand.Task, body []byte, resubmitted bool) (*request, *placerpb.PlaceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.requests[task.ID]; ok {
		if r.withdrawn {
			return nil, final(r.answer)
		}
		s.giveBody(now, r, body)
		return r, nil
	}
	if _, ok := s.right(now); !ok || s.draining {
		return nil, notOwner()
	}
	r := newRequest(task, s.epoch)
	if resubmitted {
		if s.mayStillRun(now, task) {
			return nil, waiting()
		}
		doubt := s.doubt(task)
		if doubt != "" && !task.Idempotent {
			return nil, final(lovagestand.UnknownAnswer(task.Key, doubt))
		}
		if doubt != "" {
			r.markSent()
		}
	}
	if !task.StartBy.IsZero() && now.After(task.StartBy) {
		s.hold(r)
		s.expire(now, r.parts[0], "the time to start had passed", 0)
		return r, nil
	}
	r.body = body
	r.hasBody = true
	if err := s.submit(now, r); err != nil {
		doubt := r.started()
		s.bury(now, r, err.Error())
		reply := rejection(err)
		reply.Doubt = doubt
		return nil, reply
	}
	return r, nil
}

// bury keeps the name of a task that was not queued, so that a call still on
// its way cannot queue it later.
func (s *shard) bury(now time.Time, r *request, reason string) {
	r.withdrawn = true
	if r.started() {
		r.finish(now, lovagestand.UnknownAnswer(r.task.Key, "an earlier owner may have started it; "+reason))
	} else {
		r.finish(now, lovagestand.NotRunAnswer(r.task.Key, reason, 0))
	}
	r.body = nil
	r.parts = nil
	s.requests[r.task.ID] = r
}

// withdraw gives up a task for an entry that has found another way. A task
// the shard does not know is kept from being queued later; the answer says
// that it did not run only if no earlier owner can have started it.
func (s *shard) withdraw(now time.Time, task lovagestand.Task) (lovagestand.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.right(now); !ok || !s.isReady {
		return lovagestand.Answer{}, false
	}
	if r, ok := s.requests[task.ID]; ok {
		return s.giveUp(now, r), true
	}
	if s.doubt(task) != "" {
		return lovagestand.Answer{}, false
	}
	r := newRequest(task, s.epoch)
	s.bury(now, r, "withdrawn")
	return r.answer, true
}

// giveBody completes a request that was found on a worker, and starts again
// the parts that waited for the body.
func (s *shard) giveBody(now time.Time, r *request, body []byte) {
	if r.hasBody || r.final() {
		return
	}
	r.body = body
	r.hasBody = true
	for _, p := range r.parts {
		if p.state == partBlocked {
			s.after(now, p)
		}
	}
}

// mayStillRun reports whether a task that must not run twice may run on a
// worker that does not answer and whose leases have not lapsed yet.
func (s *shard) mayStillRun(now time.Time, task lovagestand.Task) bool {
	if task.Idempotent && !task.Exclusive {
		return false
	}
	for _, lapse := range s.unread {
		if now.Before(lapse) {
			return true
		}
	}
	return false
}

// doubt returns why an earlier owner may have started a task that the shard
// does not know; it is empty where none can have.
func (s *shard) doubt(task lovagestand.Task) string {
	if len(s.unread) > 0 {
		return "a worker that may have run it was lost"
	}
	if s.deps.Members.FirstReadAt().After(task.Submitted) {
		return "a worker may have run it and left before this instance joined"
	}
	return ""
}

func rejection(err error) *placerpb.PlaceReply {
	var full *lovagestand.QueueFullError
	if errors.As(err, &full) {
		return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_FULL, Reason: err.Error(), RetryAfter: int64(full.RetryAfter)}
	}
	return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_UNFIT, Reason: err.Error()}
}

// await waits until a request has its answer, the shard closes or the window
// ends.
func (s *shard) await(window context.Context, r *request) *placerpb.PlaceReply {
	select {
	case <-r.done:
		return final(r.answer)
	default:
	}
	select {
	case <-r.done:
		return final(r.answer)
	case <-s.closed:
		// It was held here, and may have been started.
		reply := notOwner()
		reply.Doubt = true
		return reply
	case <-window.Done():
		return waiting()
	}
}

func (s *shard) find(key lovagestand.RequestKey) (*request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byKey[key]
	return r, ok
}

// cancel gives up a request. One that waits is answered at once; one that
// runs is stopped and answered when its worker confirms it.
func (s *shard) cancel(now time.Time, key lovagestand.RequestKey) (lovagestand.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byKey[key]
	if !ok {
		return lovagestand.Answer{}, false
	}
	if _, ok := s.right(now); !ok && !r.final() {
		// Another owner may start what waits here.
		return lovagestand.Answer{}, false
	}
	return s.giveUp(now, r), true
}

func (s *shard) giveUp(now time.Time, r *request) lovagestand.Answer {
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
		s.settle(now, p.request)
	case partRunning:
		s.stopSoon(p)
	case partStarting, partStopping, partEnded:
	}
}
