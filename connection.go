package lovagestand

import "context"

type newConnectionKey struct{}

// WithNewConnection returns a context for a call to an external system that must not use
// a connection that was opened before the call. A connection that has been through a
// failure of the network may stay silent for good, and a client does not notice that.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// NewConnectionRequired reports whether a context is one of [WithNewConnection].
func NewConnectionRequired(ctx context.Context) bool {
	return ctx.Value(newConnectionKey{}) != nil
}
