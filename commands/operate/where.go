package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/shard"
)

const (
	// keyVariable is the environment variable with the team's key. There is no flag for
	// the key itself, because all users of a machine can read arguments.
	keyVariable = "LOVAGESTAND_KEY"
	// standardInput stands for the standard input in place of a file.
	standardInput = "-"
	outputText    = "text"
	outputJSON    = "json"
	// exitRejected is the exit code if the job would be rejected.
	exitRejected = 1
)

// JobRejectedError is returned if the job that was asked about would be rejected.
type JobRejectedError struct {
	Reason shard.RejectionReason
}

// Error implements error.
func (e *JobRejectedError) Error() string {
	return "the job would be rejected: " + string(e.Reason)
}

// ExitCode returns the exit code for a job that would be rejected.
func (e *JobRejectedError) ExitCode() int { return exitRejected }

// QueryError is returned if no instance has answered where a job would be placed.
type QueryError struct {
	Err error
}

// Error implements error.
func (e *QueryError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *QueryError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for invalid arguments, since 1 means that the job would be
// rejected.
func (e *QueryError) ExitCode() int { return exitUsage }

// placementQuery is a query where a job would be placed.
type placementQuery struct {
	*instanceClient
	host, path, keyFile, output string
}

func newWhere(client *http.Client) *cobra.Command {
	q := &placementQuery{instanceClient: &instanceClient{client: client}}
	c := &cobra.Command{
		Use:   "where [FILE]",
		Short: "Show where a job would be placed now on the users' platform, and why it would wait or be rejected, without sending it",
		Long: "Show where a job would be placed now on the users' platform, and why it would wait or be rejected.\n" +
			"The job is not sent. FILE contains the JSON that callers post; it is read from standard input if FILE is - or missing.\n" +
			"The key of the team is read from the variable " + keyVariable + " or from --key-file.\n" +
			"The exit status is 0 if the job would start or wait, 1 if it would be rejected, and 2 if there is no answer.",
		Example: "  lovagestand where --instance 10.0.0.4:7400 --host a.example --path /x/ job.json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			placement, err := q.ask(c, append(args, standardInput)[0])
			if err != nil {
				return &QueryError{Err: err}
			}
			if err := q.write(c.OutOrStdout(), placement); err != nil {
				return &QueryError{Err: errors.Wrap(err, "print")}
			}
			if placement.Rejection != nil {
				return &JobRejectedError{Reason: placement.Rejection.Reason}
			}
			return nil
		},
	}
	q.addFlags(c)
	c.Flags().StringVar(&q.host, "host", "", "host of the route")
	c.Flags().StringVar(&q.path, "path", "", "path of the route: its prefix, or the prefix and the ID of the job")
	c.Flags().StringVar(&q.keyFile, "key-file", "", "file that contains the key of the team")
	c.Flags().StringVarP(&q.output, "output", "o", outputText, "format: text or json")
	return c
}

// ask sends the query with the job in a file.
func (q *placementQuery) ask(c *cobra.Command, file string) (shard.Placement, error) {
	if q.host == "" || q.path == "" {
		return shard.Placement{}, &UsageError{Reason: "give --host and --path of the route"}
	}
	if q.output != outputText && q.output != outputJSON {
		return shard.Placement{}, &UsageError{Reason: fmt.Sprintf("--output: %q is neither text nor json", q.output)}
	}
	body, err := readJob(c.InOrStdin(), file)
	if err != nil {
		return shard.Placement{}, err
	}
	key, err := q.key()
	if err != nil {
		return shard.Placement{}, err
	}
	ctx, cancel := context.WithTimeout(c.Context(), q.timeout)
	defer cancel()
	parameters := url.Values{shard.QueryHost: {q.host}, shard.QueryPath: {q.path}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.instance+shard.PathWhere+"?"+parameters.Encode(), bytes.NewReader(body))
	if err != nil {
		return shard.Placement{}, errors.Wrap(err, "--instance")
	}
	if key != "" {
		request.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+" "+key)
	}
	reply, err := q.do(request)
	if err != nil {
		return shard.Placement{}, err
	}
	var placement shard.Placement
	return placement, errors.Wrapf(json.Unmarshal(reply, &placement), "instance %s", q.instance)
}

// readJob reads the job from a file or from standard input.
func readJob(in io.Reader, file string) ([]byte, error) {
	if file == standardInput {
		body, err := io.ReadAll(in)
		return body, errors.Wrap(err, "job")
	}
	body, err := os.ReadFile(file)
	return body, errors.Wrap(err, "job")
}

// key returns the key of the team, empty if none is given.
func (q *placementQuery) key() (string, error) {
	if q.keyFile == "" {
		return os.Getenv(keyVariable), nil
	}
	text, err := os.ReadFile(q.keyFile)
	return strings.TrimSpace(string(text)), errors.Wrap(err, "--key-file")
}

// write writes a placement in the format that the flags select.
func (q *placementQuery) write(out io.Writer, p shard.Placement) error {
	if q.output == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(p)
	}
	var text bytes.Buffer
	writePlacement(&text, p)
	_, err := out.Write(text.Bytes())
	return err
}

// writePlacement writes a placement for a terminal.
func writePlacement(text *bytes.Buffer, p shard.Placement) {
	fmt.Fprintf(text, "shard %s, route %s", p.Shard, p.Route)
	if p.Team != "" {
		fmt.Fprintf(text, ", team %s", p.Team)
	}
	text.WriteString("\n")
	if r := p.Rejection; r != nil {
		fmt.Fprintf(text, "would be rejected: %s (%s)\n", r.Message, r.Reason)
		if r.RetryAfter > 0 {
			fmt.Fprintf(text, "try again after %v\n", time.Duration(r.RetryAfter)*time.Millisecond)
		}
	}
	for _, s := range p.Steps {
		writeStep(text, s)
	}
}

func writeStep(text *bytes.Buffer, s shard.StepPlacement) {
	fmt.Fprintf(text, "step %d: %d of %d tasks would start", s.Step, s.Tasks-s.Waiting, s.Tasks)
	if s.Gang {
		text.WriteString(", as a gang")
	}
	if s.Position > 0 {
		fmt.Fprintf(text, "; position %d in the queue", s.Position)
	}
	text.WriteString("\n")
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	for _, w := range s.Workers {
		fmt.Fprintf(table, "  %s\track %s\ttasks: %d\tfree: %s\n", w.Worker, w.Rack, w.Tasks, w.Free)
	}
	// A write to a buffer does not fail.
	_ = table.Flush()
	if s.Waiting == 0 {
		return
	}
	fmt.Fprintf(text, "  %d wait: %s (%s)", s.Waiting, s.Message, s.Reason)
	if s.Until > 0 {
		fmt.Fprintf(text, ", until %s", time.UnixMilli(s.Until).UTC().Format("15:04:05.000"))
	}
	text.WriteString("\n")
	if f := s.Figures; s.Age > 0 {
		fmt.Fprintf(text, "  it has waited for %v\n", time.Duration(s.Age)*time.Millisecond)
		fmt.Fprintf(text, "  workers needed: %d; asked: %d, allowed: %d, with a ticket: %d; tasks with room there: %d, with a ticket: %d\n",
			f.WorkersNeeded, f.Asked, f.Allowed, f.Ticketed, f.Free, f.FreeTicketed)
	}
	if s.AdviceWorkers > 0 {
		fmt.Fprintf(text, "  advice would be requested on %d workers\n", s.AdviceWorkers)
	}
}
