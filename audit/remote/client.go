package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
)

// timeout bounds one call to an auditor.
const timeout = 10 * time.Second

// Client reports what callers observe to an auditor in another process. Each
// method returns once the auditor has recorded the event, so that successive
// calls stay in order. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the auditor at the given base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: timeout}}
}

// Audit returns the violations found up to now and the use of the workers.
func (c *Client) Audit(ctx context.Context) (Audit, error) {
	var found Audit
	err := c.call(ctx, http.MethodGet, PathAudit, nil, &found)
	return found, err
}

// Usage returns the current use of the workers.
func (c *Client) Usage(ctx context.Context) (audit.Usage, error) {
	var u audit.Usage
	err := c.call(ctx, http.MethodGet, PathUsage, nil, &u)
	return u, err
}

// Submitted calls [audit.Auditor.Submitted].
func (c *Client) Submitted(ctx context.Context, key lovagestand.RequestKey, expected []byte) error {
	return c.post(ctx, PathSubmitted, Submitted{Key: key, Expected: expected})
}

// Answered calls [audit.Auditor.Answered].
func (c *Client) Answered(ctx context.Context, at time.Time, key lovagestand.RequestKey, answer lovagestand.Answer) error {
	return c.post(ctx, PathAnswered, Answered{At: at, Key: key, Answer: answer})
}

// CutOff calls [audit.Auditor.CutOff].
func (c *Client) CutOff(ctx context.Context, at time.Time, key lovagestand.RequestKey, instance, reason string) error {
	return c.post(ctx, PathCutOff, CutOff{At: at, Key: key, Instance: instance, Reason: reason})
}

// InForce calls [audit.Auditor.InForce].
func (c *Client) InForce(ctx context.Context, at time.Time, instance string, revision lovagestand.Revision) error {
	return c.post(ctx, PathInForce, InForce{At: at, Instance: instance, Revision: revision})
}

// Close calls [audit.Auditor.Close].
func (c *Client) Close(ctx context.Context, at time.Time) error {
	return c.post(ctx, PathClose, Close{At: at})
}

func (c *Client) post(ctx context.Context, path string, message any) error {
	var none struct{}
	return c.call(ctx, http.MethodPost, path, message, &none)
}

func (c *Client) call(ctx context.Context, method, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "auditor")
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "auditor")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "auditor")
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "auditor")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("auditor: %s: %s", response.Status, body)
	}
	return errors.Wrap(json.Unmarshal(body, answer), "auditor")
}
