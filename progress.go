package lovagestand

import (
	"context"
	"time"
)

type progressKey struct{}

// WithProgressHandler returns a context for a call to an external system. The function f is
// called whenever a part of the reply has arrived.
func WithProgressHandler(ctx context.Context, f func()) context.Context {
	outer, _ := ctx.Value(progressKey{}).(func())
	if outer == nil {
		return context.WithValue(ctx, progressKey{}, f)
	}
	return context.WithValue(ctx, progressKey{}, func() {
		f()
		outer()
	})
}

// RecordProgress reports that a part of the reply to a call has arrived; see
// [WithProgressHandler].
func RecordProgress(ctx context.Context) {
	if f, _ := ctx.Value(progressKey{}).(func()); f != nil {
		f()
	}
}

// WithStallTimeout returns a context for a call whose reply may be large. It ends once no
// part of the reply has arrived for a time, with the cause [context.DeadlineExceeded]. A
// timeout of the whole call would be too short for a large reply over a slow link, however
// often the call is repeated.
func WithStallTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return WithProgressHandler(ctx, func() { timer.Reset(timeout) }), func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
