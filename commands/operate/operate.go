// Package operate implements the commands that show operators the state of a cell.
// They query one instance over HTTP, which may be any instance of the cell, and
// change nothing.
package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/cell"
)

const (
	defaultInstance = "127.0.0.1:7400"
	defaultTimeout  = 10 * time.Second
	// maxReplyBytes is the maximum size of an instance's response body that is
	// read.
	maxReplyBytes = 64 << 20
	// maxReasonBytes is the maximum size of the body of an HTTP error that is
	// read.
	maxReasonBytes = 1 << 10
)

// instanceClient queries one instance. Its fields other than the HTTP client are
// the flags that the commands share.
type instanceClient struct {
	client   *http.Client
	instance string
	timeout  time.Duration
	asJSON   bool
}

// Commands returns the commands "status", "explain", "dump" and "where".
func Commands(client *http.Client) []*cobra.Command {
	return []*cobra.Command{newStatus(client), newExplain(client), newDump(client), newWhere(client)}
}

// addFlags adds the flags that select the instance and the timeout.
func (i *instanceClient) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&i.instance, "instance", defaultInstance, "host and port of the instance to query")
	c.Flags().DurationVar(&i.timeout, "timeout", defaultTimeout, "how long the command may take")
}

// addJSONFlag adds the flag that selects JSON output.
func (i *instanceClient) addJSONFlag(c *cobra.Command) {
	c.Flags().BoolVar(&i.asJSON, "json", false, "print JSON")
}

// HTTPError is returned when an instance responds with a status other than 200.
type HTTPError struct {
	Instance string
	Status   int
	Reason   string
}

// Error implements error.
func (e *HTTPError) Error() string {
	return fmt.Sprintf("instance %s: %s", e.Instance, e.Reason)
}

// get returns the response body of the instance for a path.
func (i *instanceClient) get(ctx context.Context, path string) ([]byte, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, i.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutCtx, http.MethodGet, "http://"+i.instance+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "--instance")
	}
	return i.do(request)
}

// do sends a request to the instance and returns the response body.
func (i *instanceClient) do(request *http.Request) ([]byte, error) {
	response, err := i.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s", i.instance)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		return nil, &HTTPError{Instance: i.instance, Status: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return body, errors.Wrapf(err, "instance %s", i.instance)
}

// stateWriter is a decoded response that can be written as text for a terminal.
type stateWriter interface {
	Write(w io.Writer) error
}

// show prints the response of the instance for a path, either unchanged as JSON or
// decoded into state and written as text.
func (i *instanceClient) show(c *cobra.Command, path string, state stateWriter) error {
	body, err := i.get(c.Context(), path)
	if err != nil {
		return err
	}
	if i.asJSON {
		_, err = c.OutOrStdout().Write(body)
		return errors.Wrap(err, "print")
	}
	if err := json.Unmarshal(body, state); err != nil {
		return errors.Wrapf(err, "instance %s", i.instance)
	}
	return state.Write(c.OutOrStdout())
}

func newStatus(client *http.Client) *cobra.Command {
	i := &instanceClient{client: client}
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the whole cell: regions, pools, queues, instances and unfit workers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return i.show(c, "/cell", &cell.State{})
		},
	}
	i.addFlags(c)
	i.addJSONFlag(c)
	return c
}

func newDump(client *http.Client) *cobra.Command {
	i := &instanceClient{client: client}
	c := &cobra.Command{
		Use:   "dump",
		Short: "Print the whole state of one instance as JSON",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			body, err := i.get(c.Context(), "/dump")
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(body)
			return errors.Wrap(err, "print")
		},
	}
	i.addFlags(c)
	return c
}
