package tables

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/table"
)

const (
	// pollPeriod is the pause between two polls of all instances while the
	// command waits.
	pollPeriod = 500 * time.Millisecond
	// queryTimeout is the timeout of a query to one instance.
	queryTimeout = 2 * time.Second
	// maxStatusBytes is the maximum size of an instance's response body that is
	// read.
	maxStatusBytes = 1 << 20
)

// instanceStatus is the status of the tables in one instance, or the error of the
// query.
type instanceStatus struct {
	Instance lovagestand.Instance `json:"instance"`
	table.Status
	err error
}

func (c *command) status() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the revision in force at each instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			s, err := c.overview(ctx)
			for wait && err == nil && s.behind() > 0 && pause.For(ctx, pollPeriod) {
				s, err = c.overview(ctx)
			}
			if err != nil {
				return withExitCode(err)
			}
			return withExitCode(s.print(cmd.OutOrStdout()))
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until every instance has the accepted revision in force")
	return cmd
}

// overview holds the accepted revision and the status of every instance.
type overview struct {
	// accepted is the newest revision in the store or in force at any instance.
	accepted table.Revision
	// stored is set if the store could be read. Otherwise accepted comes from the
	// instances only, and there are no changes.
	stored   bool
	changes  []table.Change
	statuses []instanceStatus
}

func (c *command) overview(ctx context.Context) (overview, error) {
	members, err := c.deps.Members(c.members).Members(ctx)
	if err != nil {
		return overview{}, err
	}
	o := overview{statuses: c.queryInstances(ctx, members.Instances)}
	if record, err := c.load(ctx); err == nil {
		o.accepted, o.stored, o.changes = record.Tables.Revision(), true, record.Changes
	}
	for _, r := range o.statuses {
		o.accepted = max(o.accepted, r.Revision)
	}
	return o, nil
}

// queryInstances queries all instances concurrently. It returns their statuses
// sorted by region and identifier.
func (c *command) queryInstances(ctx context.Context, instances []lovagestand.Instance) []instanceStatus {
	statuses := make([]instanceStatus, len(instances))
	var group sync.WaitGroup
	for i, instance := range instances {
		group.Go(func() { statuses[i] = c.queryInstance(ctx, instance) })
	}
	group.Wait()
	slices.SortFunc(statuses, func(a, b instanceStatus) int {
		return cmp.Or(cmp.Compare(a.Instance.Region, b.Instance.Region), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	return statuses
}

func (c *command) queryInstance(ctx context.Context, instance lovagestand.Instance) instanceStatus {
	r := instanceStatus{Instance: instance}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Address+"/status", nil)
	if err != nil {
		return instanceStatus{Instance: instance, err: err}
	}
	response, err := c.deps.Client.Do(request)
	if err != nil {
		return instanceStatus{Instance: instance, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return instanceStatus{Instance: instance, err: errors.New(response.Status)}
	}
	r.err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&r)
	r.Instance = instance
	return r
}

// behind returns the number of instances that do not have the accepted revision in
// force or did not answer.
func (o overview) behind() int {
	n := 0
	for _, r := range o.statuses {
		if r.err != nil || r.Revision < o.accepted {
			n++
		}
	}
	return n
}

// behindSince returns when the first change after a revision was accepted, as text
// for the state column.
func (o overview) behindSince(revision table.Revision) string {
	for _, change := range o.changes {
		if change.Revision > revision {
			return "since " + change.At.Format(time.RFC3339)
		}
	}
	return "since an unknown time"
}

func (o overview) print(w io.Writer) error {
	from := "store"
	if !o.stored {
		from = "instances only, the store did not answer"
	}
	fmt.Fprintf(w, "accepted revision %d (from %s)\n", o.accepted, from)
	columns := newColumns(w)
	fmt.Fprintln(columns, "INSTANCE\tREGION\tADDRESS\tREVISION\tSINCE\tSTATE")
	for _, r := range o.statuses {
		state, since := "in force", r.Since.Format(time.RFC3339)
		switch {
		case r.err != nil:
			state, since = "no answer: "+r.err.Error(), "-"
		case r.Revision < o.accepted:
			state = "behind " + o.behindSince(r.Revision)
		}
		fmt.Fprintf(columns, "%s\t%s\t%s\t%d\t%s\t%s\n", r.Instance.ID, r.Instance.Region, r.Instance.Address, r.Revision, since, state)
	}
	if err := columns.Flush(); err != nil {
		return err
	}
	if n := o.behind(); n > 0 {
		return &Error{Code: ExitFailed, Err: errors.Errorf("%d of %d instances do not have revision %d in force", n, len(o.statuses), o.accepted)}
	}
	return nil
}
