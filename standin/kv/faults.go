package kv

import (
	"context"
	"net/http"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// Faults configures the faults that a [Store] injects. The zero value injects
// none. Durations are nanoseconds in JSON.
type Faults struct {
	// Down makes every call fail, including the watches that already wait.
	Down bool `json:"down,omitempty"`
	// Delay delays the effect of every call.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseReplies is the fraction of writes, from 0 to 1, that take effect but
	// fail because their replies are lost.
	LoseReplies float64 `json:"loseReplies,omitempty"`
	// EffectDelay makes a write fail at once and take effect only after this
	// time.
	EffectDelay time.Duration `json:"effectDelay,omitempty"`
}

// SetFaults replaces the faults that are injected.
func (b *backend) SetFaults(f Faults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = f
	if f.Down {
		close(b.outage)
		b.outage = make(chan struct{})
	}
}

// admit counts a call, rejects it if the store is down or the rate limit is
// exceeded, and otherwise waits for the configured delay.
func (b *backend) admit(ctx context.Context, kind CallKind) error {
	b.mutex.Lock()
	b.counts.add(kind)
	f := b.faults
	limiter := b.readLimiter
	if kind.isWrite() {
		limiter = b.writeLimiter
	}
	allowed := limiter.Allow()
	if !allowed {
		b.counts.Limited++
	}
	b.mutex.Unlock()
	if f.Down {
		return rejected(http.StatusServiceUnavailable, "down")
	}
	if !allowed {
		return rejected(http.StatusTooManyRequests, "rate exceeded")
	}
	return sleep(ctx, f.Delay)
}

// write executes a write. Depending on the faults, the effect comes late or the
// reply is lost.
func write[T any](c faultyKeyspace, effect func() (T, error)) (T, error) {
	c.mutex.Lock()
	f := c.faults
	lost := f.LoseReplies > 0 && c.random.Float64() < f.LoseReplies
	c.mutex.Unlock()
	var zero T
	if f.Down {
		return zero, rejected(http.StatusServiceUnavailable, "down")
	}
	if f.EffectDelay > 0 {
		time.AfterFunc(f.EffectDelay, func() { _, _ = effect() })
		return zero, unavailable("no answer in time")
	}
	result, err := effect()
	if lost {
		return zero, unavailable("reply lost")
	}
	return result, err
}

func rejected(status int, reason string) error {
	return &lovagestand.RejectedError{System: "store", Status: status, Reason: reason}
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
