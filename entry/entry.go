package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/ingress"
)

const (
	// answerRetention is how long a final answer is retained for callers that
	// ask for it again.
	answerRetention = 10 * time.Minute
	// maxRetainedBytes bounds the total size of the bodies of retained answers.
	maxRetainedBytes = 8 << 20
	// maxRetainedAnswers bounds the number of retained answers.
	maxRetainedAnswers = 20000
	// sweepInterval is the time between two removals of old answers.
	sweepInterval = 5 * time.Second
)

// Entry accepts and processes the requests of callers. It is safe for concurrent
// use.
type Entry struct {
	deps    Deps
	clients *placerClients
	checker *checker

	mu            sync.Mutex
	calls         map[lovagestand.RequestKey]*call
	retained      []retainedAnswer
	retainedBytes int
	// heldBytes is the size of the large bodies of requests without a final answer.
	heldBytes  int64
	stopping   bool
	processing sync.WaitGroup
}

// retainedAnswer refers to the call of a final answer by its key.
type retainedAnswer struct {
	key     lovagestand.RequestKey
	finalAt time.Time
	// size is the length of the answer's body in bytes.
	size int
}

// New returns an entry that holds no requests.
func New(deps Deps) *Entry {
	clients := newPlacerClients(deps.Client)
	return &Entry{
		deps:    deps,
		clients: clients,
		checker: &checker{deps: deps, clients: clients},
		calls:   make(map[lovagestand.RequestKey]*call),
	}
}

// Run removes old answers until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.sweep(now)
		}
	}
}

// Stop refuses new requests and waits until the requests in flight have their
// final answers or ctx ends. It returns the number of requests without one.
func (e *Entry) Stop(ctx context.Context) int {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		e.processing.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return e.InFlight()
}

// InFlight returns how many requests have no final answer yet.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.calls {
		if !c.current().Outcome.Final() {
			n++
		}
	}
	return n
}

// Handle refers to a request that an entry has accepted.
type Handle struct {
	call *call
}

// Done returns a channel that is closed when the answer is final.
func (h Handle) Done() <-chan struct{} {
	return h.call.done
}

// Answer returns the current answer, which may not be final.
func (h Handle) Answer() lovagestand.Answer {
	return h.call.current()
}

// Submit accepts a request, or attaches to the request with the same key. It
// fails with an [InvalidError], [UnknownRouteError], [KeyMismatchError],
// [LimitedError] or [NotReadyError], and then starts nothing.
func (e *Entry) Submit(request lovagestand.Request) (Handle, error) {
	c, err := e.accept(request)
	if err != nil {
		return Handle{}, err
	}
	return Handle{call: c}, nil
}

// Cancel cancels a request that this entry processes. It returns false if the
// entry has no request with the key.
func (e *Entry) Cancel(key lovagestand.RequestKey) bool {
	c, ok := e.lookup(key)
	if ok {
		c.cancel()
	}
	return ok
}

// accept returns the call for a request. It creates the call and begins to
// process it if the key is new or its last attempt did not run.
func (e *Entry) accept(request lovagestand.Request) (*call, error) {
	now := time.Now()
	if !e.deps.Routes.Ready() {
		return nil, &NotReadyError{Reason: "no tables are in force yet"}
	}
	route, ok := e.deps.Routes.Route(request.Route)
	if !ok {
		return nil, &UnknownRouteError{Route: request.Route}
	}
	request = withDefaults(request, route, now)
	if err := validate(request, route); err != nil {
		return nil, err
	}
	sum := fingerprint(request)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.calls[request.Key]; ok && !restartable(c) {
		if c.fingerprint != sum {
			return nil, &KeyMismatchError{Key: request.Key}
		}
		c.abandoned.Store(false)
		return c, nil
	}
	if e.stopping {
		return nil, &NotReadyError{Reason: "the instance is stopping"}
	}
	held := largeBodyBytes(request)
	release, err := e.admit(route, request.Team, held)
	if err != nil {
		e.countLimited(err, request.Team)
		return nil, err
	}
	e.heldBytes += held
	c := newCall(request, route, sum, now)
	c.release = release
	e.calls[request.Key] = c
	e.processing.Go(func() { e.run(c) })
	return c, nil
}

// limitHeldBytes is the limit of bodies that is reached, as callers and metrics see it.
const limitHeldBytes = "heldBytes"

// largeBodyBytes returns the room that a request takes from others until it has a final answer.
func largeBodyBytes(request lovagestand.Request) int64 {
	if len(request.Body) <= ingress.FreeBytes {
		return 0
	}
	return int64(len(request.Body))
}

// admit admits a request within the limits of the tables and the room for bodies. The caller
// holds mu.
func (e *Entry) admit(route Route, team lovagestand.TeamName, held int64) (release func(), err error) {
	if held > 0 && e.deps.MaxHeldBytes > 0 && e.heldBytes+held > e.deps.MaxHeldBytes {
		return nil, &LimitedError{Limit: limitHeldBytes, RetryAfter: defaultRetryAfter}
	}
	return e.deps.Limiter.Admit(route, team)
}

// countLimited counts a request that was refused because of a limit.
func (e *Entry) countLimited(err error, team lovagestand.TeamName) {
	var limited *LimitedError
	if errors.As(err, &limited) {
		e.deps.Metrics.Limited(limited.Limit, team)
	}
}

// restartable reports whether submitting the same key again begins a new attempt.
// It does once the answer is [lovagestand.OutcomeNotRun].
func restartable(c *call) bool {
	return c.current().Outcome == lovagestand.OutcomeNotRun
}

// fingerprint returns a hash of the route and the body, by which the reuse of a
// key for a different request is detected.
func fingerprint(request lovagestand.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Route))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// run processes a call to its final answer and retains the answer.
func (e *Entry) run(c *call) {
	answer := e.process(context.Background(), c)
	c.release()
	e.dropBody(c)
	c.finish(answer)
	e.deps.Metrics.Answered(c.route.Name, c.route.Class, answer)
	e.retain(c, answer)
}

// dropBody drops the body of a request that has its final answer. Duplicates are detected by
// the fingerprint.
func (e *Entry) dropBody(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldBytes -= largeBodyBytes(c.request)
	c.request.Body = nil
}

func (e *Entry) retain(c *call, answer lovagestand.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retained = append(e.retained, retainedAnswer{key: c.request.Key, finalAt: time.Now(), size: len(answer.Body)})
	e.retainedBytes += len(answer.Body)
}

// sweep removes the answers that are past their retention, and the oldest ones
// while there are too many or their bodies are too large.
func (e *Entry) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.retained {
		tooMany := e.retainedBytes > maxRetainedBytes || len(e.retained)-n > maxRetainedAnswers
		if now.Sub(r.finalAt) <= answerRetention && !tooMany {
			break
		}
		if c, ok := e.calls[r.key]; ok && c.current().Outcome.Final() {
			delete(e.calls, r.key)
		}
		e.retainedBytes -= r.size
		n++
	}
	e.retained = append(e.retained[:0], e.retained[n:]...)
}

// MayHaveRun reports whether the entry processes a request or has an answer for it
// other than [lovagestand.OutcomeNotRun].
func (e *Entry) MayHaveRun(key lovagestand.RequestKey) bool {
	c, ok := e.lookup(key)
	return ok && c.current().Outcome != lovagestand.OutcomeNotRun
}

func (e *Entry) lookup(key lovagestand.RequestKey) (*call, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[key]
	return c, ok
}
