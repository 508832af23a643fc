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
	// DefaultLag is how far the list is behind.
	DefaultLag = 500 * time.Millisecond
	// DefaultDropAfter is how long an instance may go without registering.
	DefaultDropAfter = 3 * time.Second
)

// List is a member list; it implements [lovagestand.MemberList] for callers in
// the same process.
type List struct {
	mutex     sync.Mutex
	lag       time.Duration
	dropAfter time.Duration
	down      bool
	version   uint64
	workers   map[lovagestand.WorkerName]lovagestand.Worker
	instances map[lovagestand.InstanceID]registration
	// history holds the readings that the lag has not passed yet, after the
	// newest one that it has.
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

// Option changes a new [List].
type Option func(*List)

// WithLag sets how far the list is behind.
func WithLag(d time.Duration) Option {
	return func(l *List) { l.lag = d }
}

// WithDropAfter sets how long an instance may go without registering.
func WithDropAfter(d time.Duration) Option {
	return func(l *List) { l.dropAfter = d }
}

// New returns a list of workers that is known without lag.
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

// SetWorker adds a worker or replaces what the list tells of it.
func (l *List) SetWorker(w lovagestand.Worker) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.workers[w.Name] = w
	l.record(time.Now())
}

// SetLeaving says that a worker is or is not leaving.
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

// RemoveWorker drops a worker.
func (l *List) RemoveWorker(name lovagestand.WorkerName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.workers, name)
	l.record(time.Now())
}

// SetDown makes every call fail, or ends that.
func (l *List) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// dropExpired forgets the instances that have not registered for too long.
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

// record appends a reading as of at.
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
