package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

const (
	// keepAnswer is how long a final answer is kept for callers that ask
	// again.
	keepAnswer = 10 * time.Minute
	// keepBytes bounds the bodies of kept answers.
	keepBytes = 8 << 20
	// keepCount bounds the number of kept answers.
	keepCount = 20000
	// sweepEvery is the time between two removals of old answers.
	sweepEvery = 5 * time.Second
)

// Entry takes callers' requests. It is safe for concurrent use.
type Entry struct {
	deps    Deps
	placers *placers
	checker *checker

	mu       sync.Mutex
	calls    map[lovagestand.RequestKey]*call
	kept     []keptAnswer
	keptSize int
	stopping bool
	pursuing sync.WaitGroup
}

// keptAnswer is a final answer and when it became final.
type keptAnswer struct {
	key lovagestand.RequestKey
	at  time.Time
	// size is the length of the body in bytes.
	size int
}

// New returns an entry that holds no requests.
func New(deps Deps) *Entry {
	p := newPlacers(deps.Client)
	return &Entry{
		deps:    deps,
		placers: p,
		checker: &checker{deps: deps, placers: p},
		calls:   make(map[lovagestand.RequestKey]*call),
	}
}

// Run removes old answers until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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

// Stop refuses new requests and waits until those in flight have their
// answers or ctx ends. It returns how many are left.
func (e *Entry) Stop(ctx context.Context) int {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		e.pursuing.Wait()
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

// Handle is a request that an entry has taken.
type Handle struct {
	call *call
}

// Done returns a channel that is closed when the answer is final.
func (p Handle) Done() <-chan struct{} {
	return p.call.done
}

// Answer returns the answer as it is now.
func (p Handle) Answer() lovagestand.Answer {
	return p.call.current()
}

// Submit takes a request, or attaches to the one with the same key. It fails
// with an [InvalidError], [UnknownRouteError], [KeyMismatchError],
// [LimitedError] or [NotReadyError]; then nothing runs.
func (e *Entry) Submit(request lovagestand.Request) (Handle, error) {
	c, err := e.enter(request)
	if err != nil {
		return Handle{}, err
	}
	return Handle{call: c}, nil
}

// Cancel gives up a request that this entry pursues; false if it has none with
// the key.
func (e *Entry) Cancel(key lovagestand.RequestKey) bool {
	c, ok := e.held(key)
	if ok {
		c.cancel()
	}
	return ok
}

func (e *Entry) enter(request lovagestand.Request) (*call, error) {
	now := time.Now()
	if !e.deps.Routes.Ready() {
		return nil, &NotReadyError{Reason: "no tables are in force yet"}
	}
	route, ok := e.deps.Routes.Route(request.Route)
	if !ok {
		return nil, &UnknownRouteError{Route: request.Route}
	}
	request = withDefaults(request, route, now)
	if err := check(request, route); err != nil {
		return nil, err
	}
	mark := fingerprint(request)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.calls[request.Key]; ok && !restartable(c) {
		if c.fingerprint != mark {
			return nil, &KeyMismatchError{Key: request.Key}
		}
		c.abandoned.Store(false)
		return c, nil
	}
	if e.stopping {
		return nil, &NotReadyError{Reason: "the instance is stopping"}
	}
	release, err := e.deps.Limiter.Admit(route, request.Team)
	if err != nil {
		e.countLimited(err, request.Team)
		return nil, err
	}
	c := newCall(request, route, mark, now)
	c.release = release
	e.calls[request.Key] = c
	e.pursuing.Go(func() { e.run(c) })
	return c, nil
}

// countLimited counts a request that a limit kept out.
func (e *Entry) countLimited(err error, team lovagestand.TeamName) {
	var limited *LimitedError
	if errors.As(err, &limited) {
		e.deps.Metrics.Limited(limited.Limit, team)
	}
}

// restartable reports whether asking again with the same key asks for another
// try: the caller was told that the request did not run.
func restartable(c *call) bool {
	return c.current().Outcome == lovagestand.OutcomeNotRun
}

// fingerprint tells requests with the same key apart.
func fingerprint(request lovagestand.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Route))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// run pursues a call to its final answer and keeps the answer.
func (e *Entry) run(c *call) {
	answer := e.pursue(context.Background(), c)
	c.release()
	c.finish(answer)
	e.deps.Metrics.Answered(c.route.Name, c.route.Class, answer)
	e.keep(c, answer)
}

func (e *Entry) keep(c *call, answer lovagestand.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept = append(e.kept, keptAnswer{key: c.request.Key, at: time.Now(), size: len(answer.Body)})
	e.keptSize += len(answer.Body)
}

// sweep removes answers that are old, and the oldest while there are too many.
func (e *Entry) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, k := range e.kept {
		tooMany := e.keptSize > keepBytes || len(e.kept)-n > keepCount
		if now.Sub(k.at) <= keepAnswer && !tooMany {
			break
		}
		if c, ok := e.calls[k.key]; ok && c.current().Outcome.Final() {
			delete(e.calls, k.key)
		}
		e.keptSize -= k.size
		n++
	}
	e.kept = append(e.kept[:0], e.kept[n:]...)
}

// MayHaveRun reports whether the entry pursues a request or has an answer that
// says more than that it did not run.
func (e *Entry) MayHaveRun(key lovagestand.RequestKey) bool {
	c, ok := e.held(key)
	return ok && c.current().Outcome != lovagestand.OutcomeNotRun
}

func (e *Entry) held(key lovagestand.RequestKey) (*call, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[key]
	return c, ok
}
