package members

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform/wire"
)

// Handler serves l over HTTP to [lovagestand.example/lovagestand/platform].
func Handler(l *List) http.Handler {
	r := chi.NewRouter()
	r.Post(wire.PathMembers, wire.Handler(func(ctx context.Context, in wire.MembersRequest) (wire.MembersReply, error) {
		return unlessKnown(ctx, l, in.Known)
	}))
	r.Post(wire.PathRegister, wire.Handler(func(ctx context.Context, in lovagestand.Instance) (wire.Empty, error) {
		return wire.Empty{}, l.Register(ctx, in)
	}))
	return r
}

// unlessKnown returns the list, or says that it still has the known version.
func unlessKnown(ctx context.Context, l *List, known uint64) (wire.MembersReply, error) {
	m, err := l.Members(ctx)
	if err != nil {
		return wire.MembersReply{}, err
	}
	if known > 0 && m.Version == known {
		return wire.MembersReply{Unchanged: true}, nil
	}
	return wire.MembersReply{Members: m}, nil
}
