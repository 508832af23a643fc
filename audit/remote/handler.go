package remote

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/platform/wire"
)

// Handler serves an auditor over HTTP.
func Handler(a *audit.Auditor) http.Handler {
	r := chi.NewRouter()
	r.Get(PathAudit, func(w http.ResponseWriter, _ *http.Request) {
		write(w, Audit{Result: a.Result(), Usage: a.Usage()})
	})
	r.Get(PathUsage, func(w http.ResponseWriter, _ *http.Request) { write(w, a.Usage()) })
	r.Post(PathSubmitted, handle(func(m Submitted) { a.Submitted(m.Key, m.Expected) }))
	r.Post(PathAnswered, handle(func(m Answered) { a.Answered(m.At, m.Key, m.Answer) }))
	r.Post(PathCutOff, handle(func(m CutOff) { a.CutOff(m.At, m.Key, m.Instance, m.Reason) }))
	r.Post(PathInForce, handle(func(m InForce) { a.InForce(m.At, m.Instance, m.Revision) }))
	r.Post(PathClose, handle(func(m Close) { a.Close(m.At) }))
	return r
}

// handle returns a handler that records a message and replies with an empty
// document.
func handle[In any](record func(In)) http.HandlerFunc {
	return wire.Handler(func(_ context.Context, in In) (wire.Empty, error) {
		record(in)
		return wire.Empty{}, nil
	})
}

func write(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
