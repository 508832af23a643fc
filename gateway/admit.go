package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"lovagestand.example/lovagestand/credential"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
)

// AdmissionError is returned for a call that a gateway would not pass on to an owner.
type AdmissionError struct {
	// Status is the status with which callers are answered.
	Status int
	Reason string
}

// Error implements error.
func (e *AdmissionError) Error() string { return e.Reason }

// Admit returns the job that a caller would submit with a path, a header and a body, and
// the version of the configuration that admits it. It submits nothing. A path that ends
// with the prefix of its route stands for a new ID. It fails with an [AdmissionError].
func (g *Gateway) Admit(host, path string, header http.Header, body io.Reader) (job.Job, int64, error) {
	fail := func(status int, reason string) (job.Job, int64, error) {
		return job.Job{}, 0, &AdmissionError{Status: status, Reason: reason}
	}
	current := g.routes.current.Load()
	if current == nil {
		return fail(http.StatusServiceUnavailable, "no configuration yet")
	}
	route, rest, ok := current.find(host, path)
	if !ok {
		return fail(http.StatusNotFound, "no such route")
	}
	if rest == "" {
		rest = fmt.Sprintf("%016x", rand.Uint64())
	}
	if !job.ValidID(rest) {
		return fail(http.StatusBadRequest, "a job's ID has 16 hexadecimal digits")
	}
	team, rejection := g.routes.authenticate(current, route, header)
	switch rejection {
	case credential.NotRejected:
	case credential.RejectionUnconfirmed:
		return fail(http.StatusServiceUnavailable, "the key cannot be checked at the moment")
	default:
		return fail(http.StatusUnauthorized, "the key is "+string(rejection))
	}
	limit := current.bodyLimit()
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	switch {
	case err != nil:
		return fail(http.StatusBadRequest, "body is not complete")
	case int64(len(text)) > limit:
		return fail(http.StatusRequestEntityTooLarge, "body is too large")
	}
	j, err := platform.DecodeSubmission(job.ID(rest), route.Policy, text)
	if err != nil {
		return fail(http.StatusBadRequest, err.Error())
	}
	j.Team = team
	return j, current.Version, nil
}

// bodyLimit returns the maximum size of the body of a caller's request.
func (n *routing) bodyLimit() int64 {
	if n.MaxBodyBytes <= 0 {
		return defaultBodyBytes
	}
	return n.MaxBodyBytes
}
