package drill

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/table"
)

const (
	// readyTimeout bounds how long the stand-ins or an instance may take to
	// become ready.
	readyTimeout = 20 * time.Second
	// requestTimeout bounds one request to an instance.
	requestTimeout = 300 * time.Millisecond
	// readinessInterval is how often the balancer polls whether the instances are
	// ready, revisionInterval how often the tables in force are read.
	readinessInterval = 100 * time.Millisecond
	revisionInterval  = time.Second
	// startPollInterval is how often a process that is starting is polled.
	startPollInterval = 20 * time.Millisecond
)

// state is the state into which the drill has put an instance.
type state int

const (
	up state = iota
	paused
	killed
	stopping
)

// inPlannedStop reports whether an instance in this state is in a planned stop,
// which must not break calls.
func (s state) inPlannedStop() bool { return s == stopping }

// instance is one "serve" process.
type instance struct {
	name    string
	site    site
	process Process
	began   time.Time

	mutex sync.Mutex
	state state
	ready bool
}

// site is where an instance runs. An instance that replaces a stopped one has
// the same site.
type site struct {
	region  lovagestand.RegionName
	domain  lovagestand.FailureDomain
	address string
}

func (i *instance) status() (state, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state, i.ready
}

func (i *instance) setState(s state) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.state = s
}

// signal sets the state that a signal leads to and then sends the signal.
func (i *instance) signal(s syscall.Signal, next state) error {
	i.setState(next)
	return errors.Wrap(i.process.Signal(s), i.name)
}

// get reads a JSON document from the instance into answer, unless answer is nil.
func (i *instance) get(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.site.address+path, nil)
	if err != nil {
		return errors.Wrap(err, i.name)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, i.name)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return &notReadyError{name: i.name}
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(reply.Body).Decode(answer), i.name)
}

// notReadyError reports that an instance replied with another status than 200.
type notReadyError struct {
	name string
}

// Error implements error.
func (e *notReadyError) Error() string { return e.name + " is not ready" }

// pollReadiness updates whether the instance is ready, as a load balancer does.
// An instance that does not answer in time keeps its last readiness, so a paused
// one still gets calls.
func (i *instance) pollReadiness(ctx context.Context) {
	err := i.get(ctx, "/readyz", nil)
	var notReady *notReadyError
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch {
	case err == nil:
		i.ready = true
	case errors.As(err, &notReady), errors.Is(err, syscall.ECONNREFUSED):
		i.ready = false
	}
}

// revision returns the revision of the tables in force in the instance.
func (i *instance) revision(ctx context.Context) (table.Revision, error) {
	var s table.Status
	err := i.get(ctx, "/status", &s)
	return s.Revision, err
}

// awaitReady waits until the instance is ready and returns how long that took
// from the start of its process.
func (i *instance) awaitReady(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		i.pollReadiness(ctx)
		if _, ready := i.status(); ready {
			return time.Since(i.began), nil
		}
		if !pause.For(ctx, startPollInterval) {
			return 0, errors.Errorf("%s did not become ready in time", i.name)
		}
	}
}
