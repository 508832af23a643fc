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
	// pollPeriod is how often status asks again while it waits.
	pollPeriod = 500 * time.Millisecond
	// askTimeout bounds one question to an instance.
	askTimeout = 2 * time.Second
	// maxStatusBytes bounds the answer of an instance.
	maxStatusBytes = 1 << 20
)

// report is what one instance says, or why it says nothing.
type report struct {
	Instance lovagestand.Instance `json:"instance"`
	table.Status
	err error
}

func (c *command) status() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which instance has which revision in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			s, err := c.survey(ctx)
			for wait && err == nil && s.behind() > 0 && pause.For(ctx, pollPeriod) {
				s, err = c.survey(ctx)
			}
			if err != nil {
				return coded(err)
			}
			return coded(s.print(cmd.OutOrStdout()))
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until every instance has the accepted revision in force")
	return cmd
}

// survey is the state of all instances beside the accepted revision.
type survey struct {
	accepted table.Revision
	// stored says that the accepted revision was read from the store and not
	// from the instances.
	stored  bool
	changes []table.Change
	reports []report
}

func (c *command) survey(ctx context.Context) (survey, error) {
	members, err := c.deps.Members(c.members).Members(ctx)
	if err != nil {
		return survey{}, err
	}
	s := survey{reports: c.ask(ctx, members.Instances)}
	if record, err := c.load(ctx); err == nil {
		s.accepted, s.stored, s.changes = record.Tables.Revision(), true, record.Changes
	}
	for _, r := range s.reports {
		s.accepted = max(s.accepted, r.Revision)
	}
	return s, nil
}

// ask questions all instances at once.
func (c *command) ask(ctx context.Context, instances []lovagestand.Instance) []report {
	reports := make([]report, len(instances))
	var group sync.WaitGroup
	for i, instance := range instances {
		group.Go(func() { reports[i] = c.askOne(ctx, instance) })
	}
	group.Wait()
	slices.SortFunc(reports, func(a, b report) int {
		return cmp.Or(cmp.Compare(a.Instance.Region, b.Instance.Region), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	return reports
}

func (c *command) askOne(ctx context.Context, instance lovagestand.Instance) report {
	r := report{Instance: instance}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Address+"/status", nil)
	if err != nil {
		return report{Instance: instance, err: err}
	}
	response, err := c.deps.Client.Do(request)
	if err != nil {
		return report{Instance: instance, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report{Instance: instance, err: errors.New(response.Status)}
	}
	r.err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&r)
	r.Instance = instance
	return r
}

// behind counts the instances without the accepted revision.
func (s survey) behind() int {
	n := 0
	for _, r := range s.reports {
		if r.err != nil || r.Revision < s.accepted {
			n++
		}
	}
	return n
}

// since returns when the first change that an instance lacks was accepted.
func (s survey) since(revision table.Revision) string {
	for _, change := range s.changes {
		if change.Revision > revision {
			return "since " + change.At.Format(time.RFC3339)
		}
	}
	return "since an unknown time"
}

func (s survey) print(w io.Writer) error {
	from := "store"
	if !s.stored {
		from = "instances only, the store did not answer"
	}
	fmt.Fprintf(w, "accepted revision %d (from %s)\n", s.accepted, from)
	columns := newColumns(w)
	fmt.Fprintln(columns, "INSTANCE\tREGION\tADDRESS\tREVISION\tSINCE\tSTATE")
	for _, r := range s.reports {
		state, since := "in force", r.Since.Format(time.RFC3339)
		switch {
		case r.err != nil:
			state, since = "no answer: "+r.err.Error(), "-"
		case r.Revision < s.accepted:
			state = "behind " + s.since(r.Revision)
		}
		fmt.Fprintf(columns, "%s\t%s\t%s\t%d\t%s\t%s\n", r.Instance.ID, r.Instance.Region, r.Instance.Address, r.Revision, since, state)
	}
	if err := columns.Flush(); err != nil {
		return err
	}
	if n := s.behind(); n > 0 {
		return &Error{Code: ExitFailed, Err: errors.Errorf("%d of %d instances do not have revision %d in force", n, len(s.reports), s.accepted)}
	}
	return nil
}
