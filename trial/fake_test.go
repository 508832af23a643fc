package trial_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial"
)

// submission holds the fields of a request that the fake scheduler uses.
type submission struct {
	Key   lovagestand.RequestKey `json:"key"`
	Route lovagestand.RouteName  `json:"route"`
	Body  []byte                 `json:"body"`
}

// fakeScheduler is a minimal scheduler that all fake instances share. It runs one
// task at a time on each worker, so that tasks never compete for resources.
type fakeScheduler struct {
	tables    table.Tables
	violation string

	mutex       sync.Mutex
	calls       map[lovagestand.RequestKey]*call
	freeWorkers chan lovagestand.Worker
	once        sync.Once
}

type call struct {
	done   chan struct{}
	answer lovagestand.Answer
}

// fakeInstance is one instance of a fake scheduler.
type fakeInstance struct {
	scheduler     *fakeScheduler
	workers       *platform.Workers
	store         *platform.Store
	address       string
	server        *http.Server
	revisionCalls int
	revision      table.Revision
}

func (s *fakeScheduler) launch(site trial.Site) (trial.Instance, error) {
	list := platform.NewMemberList(site.Members, platform.WithTransport(site.Transport))
	listed, err := list.Members(context.Background())
	if err != nil {
		return nil, err
	}
	s.once.Do(func() {
		s.freeWorkers = make(chan lovagestand.Worker, len(listed.Workers))
		for _, w := range listed.Workers {
			s.freeWorkers <- w
		}
	})
	l, err := site.Listen()
	if err != nil {
		return nil, err
	}
	f := &fakeInstance{
		scheduler: s,
		workers:   platform.NewWorkers(platform.WithTransport(site.Transport)),
		store:     platform.NewStore(site.Store, platform.WithTransport(site.Transport)),
		address:   l.Addr().String(),
	}
	f.serve(l)
	return f, nil
}

func (f *fakeInstance) serve(l net.Listener) {
	f.server = &http.Server{Handler: http.HandlerFunc(f.handle)}
	go func() { _ = f.server.Serve(l) }()
}

func (f *fakeInstance) Address() string { return f.address }

func (f *fakeInstance) Ready() error { return nil }

func (f *fakeInstance) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

func (f *fakeInstance) Kill() { _ = f.server.Close() }

// Revision reads the tables from the store on each call, so that its result is
// outdated only during an outage of the store.
func (f *fakeInstance) Revision() table.Revision {
	f.revisionCalls++
	if f.scheduler.violation == "reverted" && f.revisionCalls%5 == 0 {
		return 0
	}
	if record, _, err := table.Load(context.Background(), f.store); err == nil {
		f.revision = record.Tables.Revision()
	}
	return f.revision
}

func (f *fakeInstance) handle(w http.ResponseWriter, r *http.Request) {
	var request submission
	_ = json.NewDecoder(r.Body).Decode(&request)
	if r.Method == http.MethodGet {
		request.Key = lovagestand.RequestKey(strings.TrimPrefix(r.URL.Path, "/v1/requests/"))
	}
	c := f.scheduler.findOrRun(f, request)
	select {
	case <-c.done:
		_ = json.NewEncoder(w).Encode(c.answer)
	case <-time.After(2 * time.Second):
		w.WriteHeader(http.StatusAccepted)
		_ = json.NewEncoder(w).Encode(lovagestand.Answer{Key: request.Key, Outcome: lovagestand.OutcomeWaiting})
	}
}

// findOrRun returns the call of a key. The first call of a key starts to run the
// request.
func (s *fakeScheduler) findOrRun(f *fakeInstance, request submission) *call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.calls[request.Key]
	if c == nil {
		c = &call{done: make(chan struct{})}
		s.calls[request.Key] = c
		go s.run(f, request, c)
	}
	return c
}

// run runs a request on a free worker and commits the configured violation.
func (s *fakeScheduler) run(f *fakeInstance, request submission, c *call) {
	defer close(c.done)
	w := <-s.freeWorkers
	defer func() { s.freeWorkers <- w }()
	route, _ := s.tables.Route(request.Route)
	task := lovagestand.Task{
		ID: lovagestand.TaskID(request.Key), Key: request.Key, Resources: route.Resources.Value(),
		Idempotent: route.Idempotent, Exclusive: route.Exclusive,
	}
	if s.violation == "overCommit" {
		task.Resources = w.Capacity.Add(task.Resources)
	}
	c.answer = f.runTask(w, task, request.Body)
	switch s.violation {
	case "repeated":
		f.runTask(w, task.WithID(task.ID+"-again"), request.Body)
	case "wrongAnswer":
		c.answer.Body = c.answer.Body[1:]
	case "falseNotRun":
		c.answer.Outcome = lovagestand.OutcomeNotRun
	}
}

// runTask runs a task and waits until it has ended.
func (f *fakeInstance) runTask(w lovagestand.Worker, task lovagestand.Task, body []byte) lovagestand.Answer {
	ctx := context.Background()
	start := lovagestand.TaskStart{Task: task, Body: body}
	err := f.workers.Start(ctx, w.Address, start)
	var refused *lovagestand.RefusedError
	if errors.As(err, &refused) {
		return lovagestand.NotRunAnswer(task.Key, err.Error(), 0)
	}
	after := uint64(0)
	for range 100 {
		reports, err := f.workers.Events(ctx, w.Address, after, time.Second)
		if err != nil {
			break
		}
		for _, r := range reports {
			after = r.Sequence
			if r.Task.ID == task.ID && r.Phase.Ended() {
				return lovagestand.Answer{Key: task.Key, Outcome: lovagestand.OutcomeDone, Body: r.Body}
			}
		}
	}
	return lovagestand.UnknownAnswer(task.Key, "lost sight of the worker")
}
