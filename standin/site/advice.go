package site

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// Advice is the policy service. A part of the workers may not run a step. The workers of
// the site do not check the tickets.
type Advice struct {
	// Decision is the duration of a call, PerWorker what each named worker adds.
	Decision, PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
	// AllowedPercent is the share of the workers that may run a step; 0 counts as two thirds.
	AllowedPercent uint32
}

// WithAdvice makes every route need the advice of a policy service.
func WithAdvice(a Advice) Option {
	return func(s *Site) { s.advice = &a }
}

// AdviceAddress returns the address of the policy service; empty if there is none.
func (s *Site) AdviceAddress() string { return s.adviceAddress }

// policy returns the advice field of a route.
func (a *Advice) policy() map[string]float64 {
	return map[string]float64{"decision_ms": millis(a.Decision), "period_ms": millis(a.PerWorker), "validity_ms": millis(a.Validity)}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Allows reports whether a worker may run a step.
func (a *Advice) Allows(step, worker string) bool {
	if a.AllowedPercent == 0 {
		return hashOf(step, worker)%3 > 0
	}
	return hashOf(step, worker)%100 < a.AllowedPercent
}

func hashOf(step, worker string) uint32 {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, step, "/", worker)
	return hash.Sum32()
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
		if a.Allows(request.Step, worker) {
			good = append(good, []string{worker, fmt.Sprint("ticket-", hashOf(request.Step, worker))})
		}
	}
	// The caller has gone if the reply cannot be written.
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validity_ms": a.Validity.Milliseconds()})
}
