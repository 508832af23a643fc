package kv

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// Faults says how a [Store] misbehaves; the zero value is a sound store. Its
// durations are nanoseconds in JSON.
type Faults struct {
	// Down makes every call and every waiting watch fail.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call before it takes effect.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseReplies is the share of writes, 0 to 1, that take effect but fail.
	LoseReplies float64 `json:"loseReplies,omitempty"`
	// EffectDelay makes a write fail at once but take effect after this time.
	EffectDelay time.Duration `json:"effectDelay,omitempty"`
}

// SetFaults replaces the faults from now on.
func (s *Store) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	if f.Down {
		s.wake()
	}
}

// before holds a call up by the faults and rates in force.
func (s *Store) before(ctx context.Context, kind Call) error {
	s.mutex.Lock()
	s.counts.add(kind)
	f := s.faults
	limiter := s.reads
	if kind.writes() {
		limiter = s.writes
	}
	allowed := limiter.Allow()
	if !allowed {
		s.counts.Limited++
	}
	s.mutex.Unlock()
	if f.Down {
		return unavailable("down")
	}
	if !allowed {
		return unavailable("rate exceeded")
	}
	return sleep(ctx, f.Delay)
}

// write runs a write's effect under the lock, late or with its reply lost
// where the faults say so.
func (s *Store) write(effect func() error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return unavailable("down")
	}
	if s.faults.EffectDelay > 0 {
		time.AfterFunc(s.faults.EffectDelay, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_ = effect()
		})
		return unavailable("no answer in time")
	}
	err := effect()
	if s.faults.LoseReplies > 0 && s.random.Float64() < s.faults.LoseReplies {
		return unavailable("reply lost")
	}
	return err
}

func unavailable(reason string) error {
	return &lovagestand.UnavailableError{System: "store", Reason: reason}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d > 0 && !pause.For(ctx, d) {
		return unavailable(ctx.Err().Error())
	}
	return nil
}
