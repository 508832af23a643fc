package members

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform/wire"
)

// Handler returns a handler that serves l to the client in
// [lovagestand.example/lovagestand/platform].
func Handler(l *List) http.Handler {
	r := chi.NewRouter()
	r.Post(wire.PathMembers, wire.Handler(func(ctx context.Context, in wire.MembersRequest) (wire.MembersReply, error) {
		m, err := l.Members(ctx)
		if m.Version == in.Known {
			return wire.MembersReply{Unchanged: true}, err
		}
		return wire.MembersReply{Members: &m}, err
	}))
	r.Post(wire.PathRegister, wire.Handler(func(ctx context.Context, in lovagestand.Instance) (wire.Empty, error) {
		return wire.Empty{}, l.Register(ctx, in)
	}))
	return r
}
