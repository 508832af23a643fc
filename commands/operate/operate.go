// Package operate is the part of the command line that shows operators what a
// cell does. Its commands ask any instance over HTTP and change nothing.
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
	// maxReplyBytes bounds the answer of an instance.
	maxReplyBytes = 64 << 20
	// maxReasonBytes bounds the reason given with an HTTP error.
	maxReasonBytes = 1 << 10
)

// asker carries the flags that the commands share.
type asker struct {
	client   *http.Client
	instance string
	timeout  time.Duration
	asJSON   bool
}

// Commands returns the commands "status", "explain" and "dump".
func Commands(client *http.Client) []*cobra.Command {
	return []*cobra.Command{newStatus(client), newExplain(client), newDump(client)}
}

// flags adds the flags that say which instance is asked.
func (a *asker) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.instance, "instance", defaultInstance, "host and port of the instance to ask")
	c.Flags().DurationVar(&a.timeout, "timeout", defaultTimeout, "how long the command may take")
}

// jsonFlag adds the flag that asks for JSON.
func (a *asker) jsonFlag(c *cobra.Command) {
	c.Flags().BoolVar(&a.asJSON, "json", false, "print JSON")
}

// HTTPError says that an instance answered with an HTTP error.
type HTTPError struct {
	Instance string
	Status   int
	Reason   string
}

// Error implements error.
func (e *HTTPError) Error() string {
	return fmt.Sprintf("instance %s: %s", e.Instance, e.Reason)
}

// get returns the body that the instance serves at a path.
func (a *asker) get(ctx context.Context, path string) ([]byte, error) {
	limited, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+a.instance+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "--instance")
	}
	response, err := a.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s", a.instance)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		return nil, &HTTPError{Instance: a.instance, Status: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return body, errors.Wrapf(err, "instance %s", a.instance)
}

// writer is a state that can be written for a terminal.
type writer interface {
	Write(w io.Writer) error
}

// show prints what the instance serves at a path, decoded into state.
func (a *asker) show(c *cobra.Command, path string, state writer) error {
	body, err := a.get(c.Context(), path)
	if err != nil {
		return err
	}
	if a.asJSON {
		_, err = c.OutOrStdout().Write(body)
		return errors.Wrap(err, "print")
	}
	if err := json.Unmarshal(body, state); err != nil {
		return errors.Wrapf(err, "instance %s", a.instance)
	}
	return state.Write(c.OutOrStdout())
}

func newStatus(client *http.Client) *cobra.Command {
	a := &asker{client: client}
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the whole cell: regions, pools, queues, instances and unfit workers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return a.show(c, "/cell", &cell.State{})
		},
	}
	a.flags(c)
	a.jsonFlag(c)
	return c
}

func newDump(client *http.Client) *cobra.Command {
	a := &asker{client: client}
	c := &cobra.Command{
		Use:   "dump",
		Short: "Print the whole state of one instance as JSON",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			body, err := a.get(c.Context(), "/dump")
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(body)
			return errors.Wrap(err, "print")
		},
	}
	a.flags(c)
	return c
}
