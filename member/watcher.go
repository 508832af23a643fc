// Package member follows the platform's member list and retains the workers that
// have recently left it.
package member

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

const (
	// DefaultInterval is the time between two reads of the list.
	DefaultInterval = 500 * time.Millisecond
	// DefaultRetention is how long a worker that has left the list is retained.
	DefaultRetention = 15 * time.Minute
	// lateIntervals is the number of intervals after which a read is late, counted
	// from the previous read. recentGap is how long after a late read the process
	// still counts as possibly paused.
	lateIntervals = 3
	recentGap     = 2 * time.Second
	// staleIntervals is the number of intervals for which a read of the list
	// counts as current.
	staleIntervals = 6
)

// Watcher reads the member list at regular intervals. It is safe for concurrent
// use.
type Watcher struct {
	list      lovagestand.MemberList
	self      func() lovagestand.Instance
	log       zerolog.Logger
	interval  time.Duration
	retention time.Duration

	mu        sync.Mutex
	current   lovagestand.Members
	firstRead time.Time
	lastRead  time.Time
	// lastGapEnd is the time of the last late read, see lateIntervals.
	lastGapEnd time.Time
	seen       map[lovagestand.WorkerName]sighting
	changed    chan struct{}
}

// sighting records a worker and when the list last contained it.
type sighting struct {
	worker lovagestand.Worker
	at     time.Time
}

var _ lovagestand.MemberList = (*Watcher)(nil)

// Option configures a [Watcher].
type Option func(*Watcher)

// WithInterval sets the time between two reads of the list.
func WithInterval(interval time.Duration) Option {
	return func(w *Watcher) { w.interval = interval }
}

// WithRetention sets how long a worker that has left the list is retained.
func WithRetention(retention time.Duration) Option {
	return func(w *Watcher) { w.retention = retention }
}

// NewWatcher returns a watcher that registers the instance returned by self each
// time it reads the list.
func NewWatcher(list lovagestand.MemberList, self func() lovagestand.Instance, log zerolog.Logger, options ...Option) *Watcher {
	w := &Watcher{
		list:      list,
		self:      self,
		log:       log,
		interval:  DefaultInterval,
		retention: DefaultRetention,
		seen:      make(map[lovagestand.WorkerName]sighting),
		changed:   make(chan struct{}),
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Run registers the instance and reads the list in every interval until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		w.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Current returns the members as last read, and false if the list has not been read
// yet.
func (w *Watcher) Current() (lovagestand.Members, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current, !w.firstRead.IsZero()
}

// Members implements [lovagestand.MemberList] with the members as last read. It
// fails if the platform's list has not been read for staleIntervals.
func (w *Watcher) Members(context.Context) (lovagestand.Members, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstRead.IsZero() || time.Since(w.lastRead) > staleIntervals*w.interval {
		return lovagestand.Members{}, &lovagestand.UnavailableError{System: "member list", Reason: "not read recently"}
	}
	return w.current, nil
}

// Register implements [lovagestand.MemberList]. It does nothing because
// [Watcher.Run] registers the instance.
func (w *Watcher) Register(context.Context, lovagestand.Instance) error {
	return nil
}

// MaybePaused reports whether this process may have been paused or cut off from the
// network recently. It derives this from reads of the list that are overdue or that
// were late a short time ago.
func (w *Watcher) MaybePaused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return now.Sub(w.lastRead) > lateIntervals*w.interval || now.Sub(w.lastGapEnd) < recentGap
}

// FirstReadAt returns when the list was first read, and the zero time if it has not been
// read yet.
func (w *Watcher) FirstReadAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstRead
}

// Changed returns a channel that is closed at the next change of the list.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// DepartedWorkers returns the workers of a shard that have left the list and are still
// retained.
func (w *Watcher) DepartedWorkers(shard lovagestand.ShardName) []lovagestand.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var departed []lovagestand.Worker
	for _, s := range w.seen {
		if s.at.Before(w.lastRead) && s.worker.Shard() == shard {
			departed = append(departed, s.worker)
		}
	}
	return departed
}

func (w *Watcher) read(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, 4*w.interval)
	defer cancel()
	if err := w.list.Register(callCtx, w.self()); err != nil {
		w.log.Warn().Err(err).Msg("registration with the member list failed")
	}
	members, err := w.list.Members(callCtx)
	if err != nil {
		w.log.Warn().Err(err).Msg("reading the member list failed")
		return
	}
	w.apply(time.Now(), members)
}

// apply records the members that were read at now. It ignores a version older than
// the current one, because that is a delayed reply.
func (w *Watcher) apply(now time.Time, members lovagestand.Members) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if members.Version < w.current.Version {
		return
	}
	changed := w.firstRead.IsZero() || members.Version != w.current.Version
	if w.firstRead.IsZero() {
		w.firstRead = now
	}
	if !w.lastRead.IsZero() && now.Sub(w.lastRead) > lateIntervals*w.interval {
		w.lastGapEnd = now
	}
	w.lastRead = now
	w.current = members
	w.recordSeen(now, members.Workers)
	if changed {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *Watcher) recordSeen(now time.Time, workers []lovagestand.Worker) {
	for _, worker := range workers {
		w.seen[worker.Name] = sighting{worker: worker, at: now}
	}
	for name, s := range w.seen {
		if now.Sub(s.at) > w.retention {
			delete(w.seen, name)
		}
	}
}
