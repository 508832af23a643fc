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
	r.Post(PathSubmitted, told(func(m Submitted) { a.Submitted(m.Key, m.Due) }))
	r.Post(PathAnswered, told(func(m Answered) { a.Answered(m.At, m.Key, m.Answer) }))
	r.Post(PathCutOff, told(func(m CutOff) { a.CutOff(m.At, m.Key, m.Instance, m.Reason) }))
	r.Post(PathInForce, told(func(m InForce) { a.InForce(m.At, m.Instance, m.Revision) }))
	r.Post(PathClose, told(func(m Close) { a.Close(m.At) }))
	return r
}

// told returns a handler of a message that needs no answer.
func told[In any](tell func(In)) http.HandlerFunc {
	return wire.Handler(func(_ context.Context, in In) (wire.Empty, error) {
		tell(in)
		return wire.Empty{}, nil
	})
}

func write(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
