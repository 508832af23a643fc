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
	// readyWithin bounds how long an instance may take to serve.
	readyWithin = 20 * time.Second
	// askWithin bounds one question to an instance.
	askWithin = 300 * time.Millisecond
	// askEvery is the time between a balancer's questions, tablesEvery that
	// between questions for the tables in force.
	askEvery    = 100 * time.Millisecond
	tablesEvery = time.Second
	// startEvery is the time between questions to what is starting.
	startEvery = 20 * time.Millisecond
)

// state is how an instance fares.
type state int

const (
	up state = iota
	paused
	killed
	stopping
)

// promises reports whether an instance in this state may break no call.
func (s state) promises() bool { return s == stopping }

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

// site is where an instance runs; a restarted one has the same.
type site struct {
	region  lovagestand.RegionName
	domain  lovagestand.FailureDomain
	address string
}

func (i *instance) is() (state, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state, i.ready
}

func (i *instance) become(s state) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.state = s
}

// signal sends a signal after the state that goes with it is noted.
func (i *instance) signal(s syscall.Signal, next state) error {
	i.become(next)
	return errors.Wrap(i.process.Signal(s), i.name)
}

// ask reads a document of the instance.
func (i *instance) ask(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
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

// notReadyError says that an instance answered that it does not serve.
type notReadyError struct {
	name string
}

// Error implements error.
func (e *notReadyError) Error() string { return e.name + " is not ready" }

// look learns whether the instance is ready, as a balancer does. One that does
// not answer keeps what it was last, so a paused one still gets calls.
func (i *instance) look(ctx context.Context) {
	err := i.ask(ctx, "/readyz", nil)
	var refuses *notReadyError
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch {
	case err == nil:
		i.ready = true
	case errors.As(err, &refuses), errors.Is(err, syscall.ECONNREFUSED):
		i.ready = false
	}
}

// revision returns the revision of the tables in force.
func (i *instance) revision(ctx context.Context) (table.Revision, error) {
	var s table.Status
	err := i.ask(ctx, "/status", &s)
	return s.Revision, err
}

// awaitReady waits until the instance serves and returns how long it took from
// its process's start.
func (i *instance) awaitReady(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		i.look(ctx)
		if _, ready := i.is(); ready {
			return time.Since(i.began), nil
		}
		if !pause.For(ctx, startEvery) {
			return 0, errors.Errorf("%s did not get ready", i.name)
		}
	}
}
