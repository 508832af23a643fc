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
	// CallTimeout is when a caller takes a call for broken.
	CallTimeout = 4 * time.Second
	// answerWait is how long one call asks to wait for an answer.
	answerWait = 2 * time.Second
)

// submission is the JSON of a request.
type submission struct {
	Key         lovagestand.RequestKey `json:"key"`
	Route       lovagestand.RouteName  `json:"route"`
	Team        lovagestand.TeamName   `json:"team"`
	Resources   *lovagestand.Resources `json:"resources,omitempty"`
	StartWithin string                 `json:"startWithin"`
	Body        []byte                 `json:"body"`
}

// problem is what the client reads of an error answer.
type problem struct {
	Type    string                 `json:"type"`
	Outcome lovagestand.Outcome    `json:"outcome"`
	Key     lovagestand.RequestKey `json:"key"`
	Detail  string                 `json:"detail"`
	Task    lovagestand.TaskID     `json:"task"`
	Worker  lovagestand.WorkerName `json:"worker"`
}

// typeNotReady is the type of the problem of an instance that does not serve.
const typeNotReady = "/problems/notReady"

// replyKind says what a reply tells.
type replyKind int

const (
	// replyFinal has the final answer.
	replyFinal replyKind = iota
	// replyWaiting says that there is none yet.
	replyWaiting
	// replyNotReady says that the instance does not serve.
	replyNotReady
	// replyNotFound says that the instance knows no such request.
	replyNotFound
	// replyUntyped is an error of a server that says nothing of the request.
	replyUntyped
)

// reply is what one call brought.
type reply struct {
	kind   replyKind
	status int
	answer lovagestand.Answer
}

// client calls instances.
type client struct {
	http *http.Client
}

// post submits a request, or asks for it again by its key.
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

// get asks for the answer to a request.
func (c client) get(ctx context.Context, address string, key lovagestand.RequestKey) (reply, error) {
	return c.call(ctx, http.MethodGet, "http://"+address+"/v1/requests/"+string(key)+"?wait="+answerWait.String(), key, nil)
}

// cancel asks to give a request up; its answer comes by post or get.
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
	// The key lets the transport repeat a call whose idle connection was
	// closed before it was sent.
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

// readReply tells what a whole HTTP answer says.
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
