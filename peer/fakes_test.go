package peer_test

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

// storeLatency is the time that a read or write of the store takes.
const storeLatency = 3 * time.Millisecond

// fakeStore is an in-memory store that can be made unavailable.
type fakeStore struct {
	mu      sync.Mutex
	values  map[string]lovagestand.Value
	changed chan struct{}
	down    bool
	// calls counts reads, writes and watches.
	calls int
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]lovagestand.Value{}, changed: make(chan struct{})}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) recordCall() error {
	s.calls++
	if s.down {
		return &lovagestand.UnavailableError{System: "store", Reason: "down"}
	}
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (lovagestand.Value, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.recordCall()
}

func (s *fakeStore) List(context.Context, string) ([]lovagestand.Value, error) {
	return nil, nil
}

func (s *fakeStore) Put(_ context.Context, key string, data []byte, previous lovagestand.Revision, _ lovagestand.LeaseID) (lovagestand.Revision, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.recordCall(); err != nil {
		return 0, err
	}
	if found := s.values[key].Revision; found != previous {
		return 0, &lovagestand.ConflictError{Key: key, Expected: previous, Found: found}
	}
	s.values[key] = lovagestand.Value{Key: key, Data: data, Revision: previous + 1}
	close(s.changed)
	s.changed = make(chan struct{})
	return previous + 1, nil
}

func (s *fakeStore) Delete(context.Context, string, lovagestand.Revision) error { return nil }

func (s *fakeStore) Watch(ctx context.Context, key string, after lovagestand.Revision, wait time.Duration) (lovagestand.Value, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	err := s.recordCall()
	s.mu.Unlock()
	for err == nil {
		s.mu.Lock()
		value, changed, down := s.values[key], s.changed, s.down
		s.mu.Unlock()
		if value.Revision != after || down {
			return value, nil
		}
		select {
		case <-ctx.Done():
			return value, ctx.Err()
		case <-timer.C:
			return value, nil
		case <-changed:
		}
	}
	return lovagestand.Value{}, err
}

func (s *fakeStore) Grant(context.Context, time.Duration) (lovagestand.LeaseID, error) {
	return 0, nil
}

func (s *fakeStore) Renew(context.Context, lovagestand.LeaseID) error { return nil }

// fakeMemberList is a member list that drops an instance once its last registration
// is older than timeout.
type fakeMemberList struct {
	mu           sync.Mutex
	timeout      time.Duration
	registeredAt map[lovagestand.InstanceID]time.Time
	members      map[lovagestand.InstanceID]lovagestand.Instance
	workers      []lovagestand.Worker
	down         bool
}

func newFakeMemberList(workers []lovagestand.Worker) *fakeMemberList {
	return &fakeMemberList{
		timeout:      3 * time.Second,
		registeredAt: map[lovagestand.InstanceID]time.Time{},
		members:      map[lovagestand.InstanceID]lovagestand.Instance{},
		workers:      workers,
	}
}

func (l *fakeMemberList) Register(_ context.Context, i lovagestand.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return &lovagestand.UnavailableError{System: "list", Reason: "down"}
	}
	l.registeredAt[i.ID] = time.Now()
	l.members[i.ID] = i
	return nil
}

func (l *fakeMemberList) Members(context.Context) (lovagestand.Members, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return lovagestand.Members{}, &lovagestand.UnavailableError{System: "list", Reason: "down"}
	}
	m := lovagestand.Members{Workers: l.workers}
	for _, id := range slices.Sorted(maps.Keys(l.members)) {
		if time.Since(l.registeredAt[id]) < l.timeout {
			m.Instances = append(m.Instances, l.members[id])
		}
	}
	return m, nil
}

// fakeNetwork carries HTTP calls to handlers by address, after a latency.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	latency  time.Duration
	// blocked holds the pairs of addresses, "from>to", between which calls time
	// out.
	blocked map[string]bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{handlers: map[string]http.Handler{}, latency: time.Millisecond, blocked: map[string]bool{}}
}

// clientFrom returns a client whose calls originate from an address.
func (n *fakeNetwork) clientFrom(address string) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		return n.roundTrip(address, r)
	})}
}

func (n *fakeNetwork) roundTrip(from string, r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler := n.handlers[r.URL.Host]
	blocked := n.blocked[from+">"+r.URL.Host]
	n.mu.Unlock()
	if handler == nil || blocked {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(n.latency)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	inner := r.Clone(context.Background())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.RequestURI = strings.TrimPrefix(r.URL.Path, "/")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, inner)
	return w.Result(), nil
}

// isolate blocks calls between the instances that are inside and all others, and
// allows all other calls.
func (n *fakeNetwork) isolate(f *fleet, inside func(i int) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range f.peers {
		for j := range f.peers {
			n.blocked[address(i)+">"+address(j)] = inside(i) != inside(j)
		}
	}
}

func (n *fakeNetwork) setHandler(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements [http.RoundTripper].
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
