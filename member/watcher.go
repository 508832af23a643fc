// Package member follows the platform's member list and remembers the workers
// that have left it.
package member

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

const (
	// DefaultInterval is the time between two readings of the list.
	DefaultInterval = 500 * time.Millisecond
	// DefaultRetention is how long a worker that has left the list is remembered.
	DefaultRetention = 15 * time.Minute
	// lateReadings is how many intervals after the last a reading is late, and
	// steadyAfter how long after a late one the instance counts as unsteady.
	lateReadings = 3
	steadyAfter  = 2 * time.Second
	// staleReadings is how many intervals a reading counts as the present one.
	staleReadings = 6
)

// Watcher reads the member list again and again. It is safe for concurrent
// use.
type Watcher struct {
	list     lovagestand.MemberList
	self     func() lovagestand.Instance
	log      zerolog.Logger
	interval time.Duration
	memory   time.Duration

	mu      sync.Mutex
	current lovagestand.Members
	since   time.Time
	readAt  time.Time
	// gapEnd is when a reading followed the one before late.
	gapEnd  time.Time
	seen    map[lovagestand.WorkerName]sighting
	changed chan struct{}
}

// sighting is a worker and when the list last had it.
type sighting struct {
	worker lovagestand.Worker
	at     time.Time
}

var _ lovagestand.MemberList = (*Watcher)(nil)

// Option changes how a [Watcher] works.
type Option func(*Watcher)

// WithInterval sets the time between two readings.
func WithInterval(d time.Duration) Option {
	return func(w *Watcher) { w.interval = d }
}

// WithRetention sets how long a worker that has left the list is remembered.
func WithRetention(d time.Duration) Option {
	return func(w *Watcher) { w.memory = d }
}

// NewWatcher returns a watcher that registers the instance that self returns
// each time it reads the list.
func NewWatcher(list lovagestand.MemberList, self func() lovagestand.Instance, log zerolog.Logger, options ...Option) *Watcher {
	w := &Watcher{
		list:     list,
		self:     self,
		log:      log,
		interval: DefaultInterval,
		memory:   DefaultRetention,
		seen:     make(map[lovagestand.WorkerName]sighting),
		changed:  make(chan struct{}),
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Run registers and reads until ctx ends.
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

// Current returns the last reading and whether there has been one.
func (w *Watcher) Current() (lovagestand.Members, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current, !w.since.IsZero()
}

// Members implements [lovagestand.MemberList] from memory. It fails when the
// platform's list has not been read for a while.
func (w *Watcher) Members(context.Context) (lovagestand.Members, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() || time.Since(w.readAt) > staleReadings*w.interval {
		return lovagestand.Members{}, &lovagestand.UnavailableError{System: "member list", Reason: "not read lately"}
	}
	return w.current, nil
}

// Register implements [lovagestand.MemberList]: [Watcher.Run] registers.
func (w *Watcher) Register(context.Context, lovagestand.Instance) error {
	return nil
}

// MaybePaused reports whether the list has not been read in time just now or
// lately: this process may have been paused or cut off.
func (w *Watcher) MaybePaused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return now.Sub(w.readAt) > lateReadings*w.interval || now.Sub(w.gapEnd) < steadyAfter
}

// Since returns when the first reading was made; zero if there was none.
func (w *Watcher) Since() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since
}

// Changed returns a channel that is closed when the list next changes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Gone returns the workers of a shard that the list had and has no more.
func (w *Watcher) Gone(shard lovagestand.ShardName) []lovagestand.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gone []lovagestand.Worker
	for _, s := range w.seen {
		if s.at.Before(w.readAt) && s.worker.Shard() == shard {
			gone = append(gone, s.worker)
		}
	}
	return gone
}

func (w *Watcher) read(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, 4*w.interval)
	defer cancel()
	if err := w.list.Register(limited, w.self()); err != nil {
		w.log.Warn().Err(err).Msg("register")
	}
	members, err := w.list.Members(limited)
	if err != nil {
		w.log.Warn().Err(err).Msg("read member list")
		return
	}
	w.apply(time.Now(), members)
}

// apply takes over a reading. An older version than the current one is a
// late reply and changes nothing.
func (w *Watcher) apply(now time.Time, members lovagestand.Members) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if members.Version < w.current.Version {
		return
	}
	changed := w.since.IsZero() || members.Version != w.current.Version
	if w.since.IsZero() {
		w.since = now
	}
	if !w.readAt.IsZero() && now.Sub(w.readAt) > lateReadings*w.interval {
		w.gapEnd = now
	}
	w.readAt = now
	w.current = members
	w.remember(now, members.Workers)
	if changed {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *Watcher) remember(now time.Time, workers []lovagestand.Worker) {
	for _, k := range workers {
		w.seen[k.Name] = sighting{worker: k, at: now}
	}
	for n, s := range w.seen {
		if now.Sub(s.at) > w.memory {
			delete(w.seen, n)
		}
	}
}
