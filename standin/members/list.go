package members

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// DefaultLag is how far the list lags behind the actual state.
	DefaultLag = 500 * time.Millisecond
	// DefaultDropAfter is the time without a registration after which an
	// instance is dropped.
	DefaultDropAfter = 3 * time.Second
)

// List is a member list. It implements [lovagestand.MemberList] for callers in
// the same process.
type List struct {
	mutex     sync.Mutex
	lag       time.Duration
	dropAfter time.Duration
	down      bool
	version   uint64
	workers   map[lovagestand.WorkerName]lovagestand.Worker
	instances map[lovagestand.InstanceID]registration
	// history holds, as of the last read, the newest snapshot that is at least
	// as old as the lag, followed by the snapshots that are not visible yet.
	history []snapshot
}

type registration struct {
	instance     lovagestand.Instance
	registeredAt time.Time
}

type snapshot struct {
	takenAt time.Time
	members lovagestand.Members
}

var _ lovagestand.MemberList = (*List)(nil)

// Option configures a new [List].
type Option func(*List)

// WithLag sets how far the list lags behind the actual state.
func WithLag(d time.Duration) Option {
	return func(l *List) { l.lag = d }
}

// WithDropAfter sets the time without a registration after which an instance is
// dropped.
func WithDropAfter(d time.Duration) Option {
	return func(l *List) { l.dropAfter = d }
}

// New returns a list with workers that are visible at once, without lag.
func New(workers []lovagestand.Worker, options ...Option) *List {
	l := &List{
		lag:       DefaultLag,
		dropAfter: DefaultDropAfter,
		workers:   map[lovagestand.WorkerName]lovagestand.Worker{},
		instances: map[lovagestand.InstanceID]registration{},
	}
	for _, o := range options {
		o(l)
	}
	for _, w := range workers {
		l.workers[w.Name] = w
	}
	l.record(time.Time{})
	return l
}

// Members implements [lovagestand.MemberList].
func (l *List) Members(context.Context) (lovagestand.Members, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return lovagestand.Members{}, unavailable()
	}
	now := time.Now()
	l.dropExpired(now)
	visible := now.Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].takenAt.After(visible) {
		l.history = l.history[1:]
	}
	return l.history[0].members, nil
}

// Register implements [lovagestand.MemberList].
func (l *List) Register(_ context.Context, instance lovagestand.Instance) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return unavailable()
	}
	now := time.Now()
	l.dropExpired(now)
	previous, found := l.instances[instance.ID]
	l.instances[instance.ID] = registration{instance: instance, registeredAt: now}
	if !found || previous.instance != instance {
		l.record(now)
	}
	return nil
}

// SetWorker adds a worker or replaces its description.
func (l *List) SetWorker(w lovagestand.Worker) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.workers[w.Name] = w
	l.record(time.Now())
}

// SetLeaving sets whether a worker is leaving. It has no effect if the worker is
// not in the list.
func (l *List) SetLeaving(name lovagestand.WorkerName, leaving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w, found := l.workers[name]
	if !found {
		return
	}
	l.workers[name] = w.WithLeaving(leaving)
	l.record(time.Now())
}

// RemoveWorker removes a worker.
func (l *List) RemoveWorker(name lovagestand.WorkerName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.workers, name)
	l.record(time.Now())
}

// SetDown sets whether the list is down. While it is down, [List.Members] and
// [List.Register] fail.
func (l *List) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// dropExpired removes the instances that have not registered within dropAfter.
func (l *List) dropExpired(now time.Time) {
	dropped := false
	for id, r := range l.instances {
		if now.Sub(r.registeredAt) >= l.dropAfter {
			delete(l.instances, id)
			dropped = true
		}
	}
	if dropped {
		l.record(now)
	}
}

// record appends a snapshot taken at a given time to the history.
func (l *List) record(takenAt time.Time) {
	l.version++
	m := lovagestand.Members{Version: l.version}
	m.Workers = slices.SortedFunc(maps.Values(l.workers), func(a, b lovagestand.Worker) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for _, r := range l.instances {
		m.Instances = append(m.Instances, r.instance)
	}
	slices.SortFunc(m.Instances, func(a, b lovagestand.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	l.history = append(l.history, snapshot{takenAt: takenAt, members: m})
}

func unavailable() error {
	return &lovagestand.UnavailableError{System: "member list", Reason: "down"}
}
