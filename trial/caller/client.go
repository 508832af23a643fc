package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

const (
	// CallTimeout bounds one call, which counts as broken after it.
	CallTimeout = 4 * time.Second
	// answerWait is how long the instance is asked to wait for the final answer
	// within one call.
	answerWait = 2 * time.Second
)

// submission is a request as encoded in JSON.
type submission struct {
	Key         lovagestand.RequestKey `json:"key"`
	Route       lovagestand.RouteName  `json:"route"`
	Team        lovagestand.TeamName   `json:"team"`
	Resources   *lovagestand.Resources `json:"resources,omitempty"`
	StartWithin string                 `json:"startWithin"`
	Body        []byte                 `json:"body"`
}

// problem holds the fields of an error response that the client uses.
type problem struct {
	Type    string                 `json:"type"`
	Outcome lovagestand.Outcome    `json:"outcome"`
	Key     lovagestand.RequestKey `json:"key"`
	Detail  string                 `json:"detail"`
	Task    lovagestand.TaskID     `json:"task"`
	Worker  lovagestand.WorkerName `json:"worker"`
}

// typeNotReady is the problem type of an instance that does not serve.
const typeNotReady = "/problems/notReady"

// replyKind is the meaning of a reply.
type replyKind int

const (
	// replyFinal contains the final answer.
	replyFinal replyKind = iota
	// replyWaiting indicates that there is no final answer yet.
	replyWaiting
	// replyNotReady indicates that the instance does not serve.
	replyNotReady
	// replyNotFound indicates that the instance has no such request.
	replyNotFound
	// replyUntyped is a response that states no outcome of the request.
	replyUntyped
)

// reply is the result of one call.
type reply struct {
	kind   replyKind
	status int
	answer lovagestand.Answer
}

// client makes HTTP calls to instances.
type client struct {
	http *http.Client
}

// post submits a request. If the key is a duplicate, the call returns the answer to
// the earlier submission.
func (c client) post(ctx context.Context, address string, request Request) (reply, error) {
	document := submission{Key: request.Key, Route: request.Route, Team: request.Team, StartWithin: request.StartWithin.String(), Body: request.Body}
	if !request.Resources.IsZero() {
		document.Resources = &request.Resources
	}
	body, err := json.Marshal(document)
	if err != nil {
		return reply{}, errors.Wrap(err, "encode request")
	}
	return c.call(ctx, http.MethodPost, "http://"+address+"/v1/requests?wait="+answerWait.String(), request.Key, body)
}

// get queries the answer to a request.
func (c client) get(ctx context.Context, address string, key lovagestand.RequestKey) (reply, error) {
	return c.call(ctx, http.MethodGet, "http://"+address+"/v1/requests/"+string(key)+"?wait="+answerWait.String(), key, nil)
}

// cancel cancels a request; the final answer is returned by post or get.
func (c client) cancel(ctx context.Context, address string, key lovagestand.RequestKey) error {
	_, err := c.call(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+string(key), key, nil)
	return err
}

func (c client) call(ctx context.Context, method, url string, key lovagestand.RequestKey, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "call")
	}
	request.Header.Set("Content-Type", "application/json")
	// The key allows the transport to retry a call on a new connection if the idle
	// one was closed before the call was sent.
	request.Header.Set("Idempotency-Key", string(key))
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read answer")
	}
	return readReply(response.StatusCode, key, responseBody), nil
}

// readReply interprets a complete HTTP response.
func readReply(status int, key lovagestand.RequestKey, body []byte) reply {
	r := reply{kind: replyUntyped, status: status}
	switch {
	case status == http.StatusOK || status == http.StatusAccepted:
		if json.Unmarshal(body, &r.answer) != nil {
			return r
		}
		r.kind = replyWaiting
		if r.answer.Outcome.Final() {
			r.kind = replyFinal
		}
	default:
		r.readProblem(key, body)
	}
	return r
}

// readProblem interprets an error response.
func (r *reply) readProblem(key lovagestand.RequestKey, body []byte) {
	var p problem
	if json.Unmarshal(body, &p) != nil {
		return
	}
	switch {
	case p.Type == typeNotReady:
		r.kind = replyNotReady
	case p.Outcome.Final():
		r.kind = replyFinal
	case r.status == http.StatusNotFound:
		r.kind = replyNotFound
	}
	if p.Key == "" {
		p.Key = key
	}
	r.answer = lovagestand.Answer{Key: p.Key, Outcome: p.Outcome, Reason: p.Detail, Task: p.Task, Worker: p.Worker}
}
