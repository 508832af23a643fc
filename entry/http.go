package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
)

const (
	// maxWait bounds how long one HTTP call waits for an answer.
	maxWait = 60 * time.Second
	// maxRequestBytes bounds the JSON of a request, in which the body is encoded
	// in base64.
	maxRequestBytes = 2 * maxBodyBytes
)

// submission is a request in the JSON that callers send.
type submission struct {
	Key         lovagestand.RequestKey `json:"key"`
	Route       lovagestand.RouteName  `json:"route"`
	Team        lovagestand.TeamName   `json:"team"`
	Resources   lovagestand.Resources  `json:"resources"`
	Tasks       int                    `json:"tasks"`
	StartWithin string                 `json:"startWithin"`
	RunTime     string                 `json:"runTime"`
	Body        []byte                 `json:"body"`
}

// request converts the submission to a request that arrives at now.
func (s submission) request(now time.Time) (lovagestand.Request, error) {
	r := lovagestand.Request{
		Key:       s.Key,
		Route:     s.Route,
		Team:      s.Team,
		Resources: s.Resources,
		Tasks:     s.Tasks,
		Body:      s.Body,
	}
	startWithin, err := parseDuration("startWithin", s.StartWithin)
	if err != nil {
		return r, err
	}
	if startWithin > 0 {
		r.StartBy = now.Add(startWithin)
	}
	r.RunTime, err = parseDuration("runTime", s.RunTime)
	return r, err
}

func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, &InvalidError{Field: field, Reason: "must be a duration such as 2s or 5m"}
	}
	return d, nil
}

// Mount adds the HTTP interface for callers to a router.
func (e *Entry) Mount(router chi.Router) {
	router.Post("/v1/requests", e.servePost)
	router.Get("/v1/requests/{key}", e.serveGet)
	router.Delete("/v1/requests/{key}", e.serveDelete)
}

func (e *Entry) servePost(w http.ResponseWriter, r *http.Request) {
	wait, err := parseDuration("wait", r.URL.Query().Get("wait"))
	if err != nil {
		writeError(w, err)
		return
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	var s submission
	if err := decoder.Decode(&s); err != nil {
		writeError(w, &InvalidError{Field: "request", Reason: err.Error()})
		return
	}
	request, err := s.request(time.Now())
	if err != nil {
		writeError(w, err)
		return
	}
	c, err := e.accept(request)
	if err != nil {
		writeError(w, err)
		return
	}
	stop := context.AfterFunc(r.Context(), func() { c.abandoned.Store(true) })
	answer := c.await(r.Context(), wait)
	stop()
	writeAnswer(w, answer)
}

func (e *Entry) serveGet(w http.ResponseWriter, r *http.Request) {
	key := lovagestand.RequestKey(chi.URLParam(r, "key"))
	wait, err := parseDuration("wait", r.URL.Query().Get("wait"))
	if err != nil {
		writeError(w, err)
		return
	}
	if c, ok := e.lookup(key); ok {
		writeAnswer(w, c.await(r.Context(), wait))
		return
	}
	answer, ok := e.findElsewhere(r.Context(), key, min(wait, maxWait))
	if !ok {
		writeError(w, &NotFoundError{Key: key})
		return
	}
	writeAnswer(w, relayed(answer))
}

func (e *Entry) serveDelete(w http.ResponseWriter, r *http.Request) {
	key := lovagestand.RequestKey(chi.URLParam(r, "key"))
	if c, held := e.lookup(key); held {
		c.cancel()
		writeJSON(w, http.StatusOK, c.await(r.Context(), urgentWindow))
		return
	}
	answer, found := e.cancelElsewhere(r.Context(), key)
	if !found {
		writeError(w, &NotFoundError{Key: key})
		return
	}
	writeJSON(w, http.StatusAccepted, relayed(answer))
}

// relayed returns the answer to give for a request that another instance holds.
// It replaces [lovagestand.OutcomeNotRun] by [lovagestand.OutcomeUnknown], because
// only the entry that processes the request can determine that it did not run.
func relayed(answer lovagestand.Answer) lovagestand.Answer {
	if answer.Outcome != lovagestand.OutcomeNotRun {
		return answer
	}
	return lovagestand.UnknownAnswer(answer.Key, "send the request again with its key for an answer; "+answer.Reason)
}

// await waits for the final answer and returns it. If wait passes or ctx ends
// first, await returns the current answer. It waits no longer than maxWait.
func (c *call) await(ctx context.Context, wait time.Duration) lovagestand.Answer {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-c.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	return c.current()
}
