package fleet

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform/wire"
)

// Handler returns a handler that serves w to the client in
// [lovagestand.example/lovagestand/platform]. It aborts the connections while the
// worker is unreachable.
func Handler(w *Worker) http.Handler {
	r := chi.NewRouter()
	r.Use(w.abortIfUnreachable)
	r.Post(wire.PathStart, wire.Handler(func(ctx context.Context, in lovagestand.TaskStart) (wire.Empty, error) {
		return wire.Empty{}, w.Start(ctx, in)
	}))
	r.Post(wire.PathRenewTasks, wire.Handler(func(ctx context.Context, in wire.RenewTasksRequest) (wire.TasksMessage, error) {
		missing, err := w.Renew(ctx, in.Lease, in.Tasks)
		return wire.TasksMessage{Tasks: missing}, err
	}))
	r.Post(wire.PathStop, wire.Handler(func(ctx context.Context, in wire.TasksMessage) (wire.Empty, error) {
		return wire.Empty{}, w.Stop(ctx, in.Tasks)
	}))
	r.Post(wire.PathCheckpoint, wire.Handler(func(ctx context.Context, in wire.TaskMessage) (wire.CheckpointReply, error) {
		text, err := w.Checkpoint(ctx, in.Task)
		return wire.CheckpointReply{Checkpoint: text}, err
	}))
	r.Post(wire.PathThrottle, wire.Handler(func(ctx context.Context, in wire.TaskMessage) (wire.Empty, error) {
		return wire.Empty{}, w.Throttle(ctx, in.Task)
	}))
	r.Post(wire.PathState, wire.Handler(func(ctx context.Context, _ wire.Empty) (lovagestand.WorkerState, error) {
		return w.State(ctx)
	}))
	r.Post(wire.PathEvents, wire.Handler(func(ctx context.Context, in wire.EventsRequest) (wire.EventsReply, error) {
		reports, err := w.Events(ctx, in.After, in.Wait)
		return wire.EventsReply{Reports: reports}, err
	}))
	return r
}

// abortIfUnreachable aborts each request that arrives while the worker is
// unreachable.
func (w *Worker) abortIfUnreachable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if w.currentFaults().Unreachable {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(out, r)
	})
}
