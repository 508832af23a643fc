package kv

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform/wire"
)

// Handler serves s over HTTP to [lovagestand.example/lovagestand/platform].
func Handler(s *Store) http.Handler {
	r := chi.NewRouter()
	r.Post(wire.PathGet, wire.Handler(func(ctx context.Context, in wire.KeyRequest) (lovagestand.Value, error) {
		return s.Get(ctx, in.Key)
	}))
	r.Post(wire.PathList, wire.Handler(func(ctx context.Context, in wire.KeyRequest) (wire.ValuesReply, error) {
		values, err := s.List(ctx, in.Key)
		return wire.ValuesReply{Values: values}, err
	}))
	r.Post(wire.PathPut, wire.Handler(func(ctx context.Context, in wire.PutRequest) (wire.PutReply, error) {
		revision, err := s.Put(ctx, in.Key, in.Data, in.Previous, in.Lease)
		return wire.PutReply{Revision: revision}, err
	}))
	r.Post(wire.PathDelete, wire.Handler(func(ctx context.Context, in wire.DeleteRequest) (wire.Empty, error) {
		return wire.Empty{}, s.Delete(ctx, in.Key, in.Previous)
	}))
	r.Post(wire.PathWatch, wire.Handler(func(ctx context.Context, in wire.WatchRequest) (lovagestand.Value, error) {
		return s.Watch(ctx, in.Key, in.After, in.Wait)
	}))
	r.Post(wire.PathGrant, wire.Handler(func(ctx context.Context, in wire.GrantRequest) (wire.LeaseMessage, error) {
		id, err := s.Grant(ctx, in.TTL)
		return wire.LeaseMessage{Lease: id}, err
	}))
	r.Post(wire.PathRenew, wire.Handler(func(ctx context.Context, in wire.LeaseMessage) (wire.Empty, error) {
		return wire.Empty{}, s.Renew(ctx, in.Lease)
	}))
	return r
}
