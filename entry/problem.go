package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

// problem is an error response in the format of RFC 9457, with additional members.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Key, Outcome, Task and Worker are set if the problem is the answer to a
	// request. Outcome is also set for a refused request, unless the key may
	// belong to an earlier request.
	Key     lovagestand.RequestKey `json:"key,omitempty"`
	Outcome lovagestand.Outcome    `json:"outcome,omitempty"`
	Task    lovagestand.TaskID     `json:"task,omitempty"`
	Worker  lovagestand.WorkerName `json:"worker,omitempty"`
	// Reason repeats Detail for programs, under the name that it has in an
	// answer.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMillis is how long the caller should wait before it retries.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
	// Body is the body that the worker returned for a failed request.
	Body []byte `json:"body,omitempty"`
}

// The values of [problem.Type].
const (
	typeInvalid  = "/problems/invalid"
	typeNotFound = "/problems/notFound"
	typeMismatch = "/problems/keyMismatch"
	typeLimited  = "/problems/limited"
	typeNotReady = "/problems/notReady"
	typeOutcome  = "/problems/outcome"
)

// writeAnswer writes an answer. If the answer is not final, the response refers to
// the URL at which the caller can request it again.
func writeAnswer(w http.ResponseWriter, answer lovagestand.Answer) {
	switch answer.Outcome {
	case lovagestand.OutcomeDone:
		writeJSON(w, http.StatusOK, answer)
	case lovagestand.OutcomeWaiting:
		w.Header().Set("Location", "/v1/requests/"+string(answer.Key))
		writeJSON(w, http.StatusAccepted, answer)
	default:
		writeProblem(w, outcomeProblem(answer), answer.RetryAfter)
	}
}

func outcomeProblem(answer lovagestand.Answer) problem {
	return problem{
		Type:    typeOutcome,
		Title:   outcomeTitle(answer.Outcome),
		Status:  outcomeStatus(answer),
		Detail:  answer.Reason,
		Key:     answer.Key,
		Outcome: answer.Outcome,
		Task:    answer.Task,
		Worker:  answer.Worker,
		Reason:  answer.Reason,
		Body:    answer.Body,
	}
}

func outcomeTitle(outcome lovagestand.Outcome) string {
	switch outcome {
	case lovagestand.OutcomeNotRun:
		return "the request did not run"
	case lovagestand.OutcomeFailed:
		return "the request ran and failed"
	case lovagestand.OutcomeCancelled:
		return "the request was cancelled after it had started"
	default:
		return "it is not known whether the request ran"
	}
}

func outcomeStatus(answer lovagestand.Answer) int {
	switch answer.Outcome {
	case lovagestand.OutcomeNotRun:
		if answer.RetryAfter == 0 {
			return http.StatusUnprocessableEntity
		}
		return http.StatusServiceUnavailable
	case lovagestand.OutcomeFailed:
		return http.StatusBadGateway
	case lovagestand.OutcomeCancelled:
		return http.StatusGone
	default:
		return http.StatusGatewayTimeout
	}
}

// writeError writes an error of [Entry.Submit] or of a handler as a problem.
func writeError(w http.ResponseWriter, err error) {
	p, retryAfter := errorProblem(err)
	writeProblem(w, p, retryAfter)
}

func errorProblem(err error) (problem, time.Duration) {
	p := problem{Detail: err.Error(), Reason: err.Error(), Outcome: lovagestand.OutcomeNotRun}
	var invalid *InvalidError
	var unknownRoute *UnknownRouteError
	var mismatch *KeyMismatchError
	var limited *LimitedError
	var notReady *NotReadyError
	var notFound *NotFoundError
	switch {
	case errors.As(err, &invalid):
		p.Type, p.Title, p.Status = typeInvalid, "the request is not valid", http.StatusBadRequest
	case errors.As(err, &unknownRoute):
		p.Type, p.Title, p.Status = typeNotFound, "there is no such route", http.StatusNotFound
	case errors.As(err, &mismatch):
		p.Type, p.Title, p.Status = typeMismatch, "the key names another request", http.StatusConflict
		p.Outcome = ""
	case errors.As(err, &limited):
		// An earlier request with the same key may have any outcome.
		p.Type, p.Title, p.Status = typeLimited, "a limit is reached", http.StatusTooManyRequests
		p.Outcome = ""
		return p, limited.RetryAfter
	case errors.As(err, &notReady):
		p.Type, p.Title, p.Status = typeNotReady, "the instance takes no requests", http.StatusServiceUnavailable
		p.Outcome = ""
		return p, time.Second
	case errors.As(err, &notFound):
		p.Type, p.Title, p.Status = typeNotFound, "there is no such request", http.StatusNotFound
		p.Outcome = ""
	default:
		p.Type, p.Title, p.Status = "about:blank", "internal error", http.StatusInternalServerError
		p.Outcome = lovagestand.OutcomeUnknown
	}
	return p, 0
}

func writeProblem(w http.ResponseWriter, p problem, retryAfter time.Duration) {
	if retryAfter > 0 {
		p.RetryAfterMillis = retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	writeBody(w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, v)
}

func writeBody(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	// The error is ignored: a caller that hung up can submit the key again.
	_ = json.NewEncoder(w).Encode(v)
}
