package outage

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

const (
	// minDuration is how long the store must have served no call for that to count as an
	// outage. A few lost replies in a row are none.
	minDuration = 200 * time.Millisecond
	// Aftermath is how long after an outage failed calls are attributed to it, since
	// connections that were open during the outage may still be in use.
	Aftermath = 2 * time.Second
)

// Served reports whether the result of a call to the store shows that the store serves
// this instance. Conflicts do, while rejections because of a failure or of load do not.
func Served(err error) bool {
	var rejected *lovagestand.RejectedError
	if errors.As(err, &rejected) {
		return rejected.Status < http.StatusInternalServerError && rejected.Status != http.StatusTooManyRequests
	}
	var unavailable *lovagestand.UnavailableError
	return !errors.As(err, &unavailable)
}

// Tracker records the last outage of the store. The zero value has seen none. It is safe
// for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// servedAt is when a call was last served.
	servedAt time.Time
	// failingSince is when the first call was sent that has not been served and that no
	// served call has followed; zero if there is none.
	failingSince time.Time
	endedAt      time.Time
}

// RecordFailure records that a call that was sent at a time has not been served. It has
// no effect if another call has been served since.
func (t *Tracker) RecordFailure(sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !sentAt.Before(t.servedAt) && (t.failingSince.IsZero() || sentAt.Before(t.failingSince)) {
		t.failingSince = sentAt
	}
}

// RecordServed records that a call has been served. It returns how long the outage lasted
// that ends with it, or 0 if there was none.
func (t *Tracker) RecordServed(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	lasted := t.lasting(now)
	if lasted > 0 {
		t.endedAt = now
	}
	t.failingSince, t.servedAt = time.Time{}, now
	return lasted
}

// lasting returns how long the present outage has lasted; 0 if there is none.
func (t *Tracker) lasting(now time.Time) time.Duration {
	if t.failingSince.IsZero() || now.Sub(t.failingSince) < minDuration {
		return 0
	}
	return now.Sub(t.failingSince)
}

// Failing reports whether a call has not been served and none has been since.
func (t *Tracker) Failing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.failingSince.IsZero()
}

// EndedRecently reports whether an outage has ended within [Aftermath].
func (t *Tracker) EndedRecently(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.endedAt.IsZero() && now.Sub(t.endedAt) < Aftermath
}

// Recent reports whether there is an outage or one has ended within [Aftermath].
func (t *Tracker) Recent(now time.Time) bool {
	t.mu.Lock()
	ongoing := t.lasting(now) > 0
	t.mu.Unlock()
	return ongoing || t.EndedRecently(now)
}
