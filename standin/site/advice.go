package site

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// Advice is the policy service. A third of the workers may not run a step. The workers of
// the site do not check the tickets.
type Advice struct {
	// Decision is the duration of a call, PerWorker what each named worker adds.
	Decision, PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

// WithAdvice makes every route need the advice of a policy service.
func WithAdvice(a Advice) Option {
	return func(s *Site) { s.advice = &a }
}

// AdviceAddress returns the address of the policy service; empty if there is none.
func (s *Site) AdviceAddress() string { return s.adviceAddress }

// policy returns the advice field of a route.
func (a *Advice) policy() map[string]int64 {
	return map[string]int64{"decision_ms": a.Decision.Milliseconds(), "period_ms": a.PerWorker.Milliseconds(), "validity_ms": a.Validity.Milliseconds()}
}

// ServeHTTP implements [http.Handler].
func (a *Advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(a.Decision + time.Duration(len(request.Workers))*a.PerWorker)
	good := [][]string{}
	for _, worker := range request.Workers {
		hash := fnv.New32a()
		_, _ = fmt.Fprint(hash, request.Step, "/", worker)
		if hash.Sum32()%3 > 0 {
			good = append(good, []string{worker, fmt.Sprint("ticket-", hash.Sum32())})
		}
	}
	// The caller has gone if the reply cannot be written.
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validity_ms": a.Validity.Milliseconds()})
}
