// Package trial implements the command that runs callers, instances and workers in
// one process and audits them.
package trial

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/examples"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial"
)

const (
	exitViolations = 1
	exitInput      = 2
)

// InputError is returned for an invalid flag or table. Nothing was started.
type InputError struct {
	Err error
}

// Error implements error.
func (e *InputError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *InputError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for invalid input.
func (*InputError) ExitCode() int { return exitInput }

// ViolationsError is returned when the audit of a trial found violations of the
// scheduler's guarantees.
type ViolationsError struct {
	Count int
}

// Error implements error.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("trial: %d violations", e.Count)
}

// ExitCode returns the exit code of a trial with violations.
func (*ViolationsError) ExitCode() int { return exitViolations }

// flags are the flags of "trial".
type flags struct {
	tables   string
	duration time.Duration
	seed     uint64
	rate     float64
	faults   string
	report   string
}

// New returns the command "trial". The instances write only errors to logger.
func New(logger zerolog.Logger) *cobra.Command {
	f := flags{}
	c := &cobra.Command{
		Use:   "trial",
		Short: "Run callers, nine instances and a firm's workers in one process, and audit them",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c, f, logger.Level(zerolog.ErrorLevel))
		},
	}
	c.Flags().StringVar(&f.tables, "tables", "", "directory of routes.yaml and pools.yaml, in place of glazedesk's")
	c.Flags().DurationVar(&f.duration, "duration", trial.DefaultDuration, "time for which callers send requests")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of requests and faults")
	c.Flags().Float64Var(&f.rate, "rate", trial.DefaultRate, "requests per second")
	c.Flags().StringVar(&f.faults, "faults", "", "comma-separated faults, or all")
	c.Flags().StringVar(&f.report, "report", "", "path of a report file that ends in .html or .json")
	return c
}

func run(c *cobra.Command, f flags, logger zerolog.Logger) error {
	config, err := f.config()
	if err != nil {
		return &InputError{Err: err}
	}
	config.Launch = launcher(logger)
	config.Progress = progress(c.ErrOrStderr())
	r, err := trial.Run(c.Context(), config)
	if err != nil {
		return err
	}
	if err := r.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	if f.report != "" {
		if err := r.WriteFile(f.report); err != nil {
			return err
		}
	}
	if n := r.Audit.Total(); n > 0 {
		return &ViolationsError{Count: n}
	}
	return nil
}

func (f flags) config() (trial.Config, error) {
	config := trial.Config{Duration: f.duration, Rate: f.rate, Seed: f.seed}
	if f.duration <= 0 {
		return config, errors.New("--duration: must be more than 0")
	}
	if f.rate <= 0 {
		return config, errors.New("--rate: must be more than 0")
	}
	if f.report != "" {
		if err := report.CheckPath(f.report); err != nil {
			return config, errors.Wrap(err, "--report")
		}
	}
	var err error
	if config.Faults, err = trial.ParseFaults(f.faults); err != nil {
		return config, errors.Wrap(err, "--faults")
	}
	config.Tables, err = f.readTables()
	return config, err
}

func (f flags) readTables() (table.Tables, error) {
	if f.tables == "" {
		return examples.Tables("glazedesk")
	}
	routes, err := os.ReadFile(filepath.Join(f.tables, table.RoutesTable.File()))
	if err != nil {
		return table.Tables{}, errors.Wrap(err, "--tables")
	}
	pools, err := os.ReadFile(filepath.Join(f.tables, table.PoolsTable.File()))
	if err != nil {
		return table.Tables{}, errors.Wrap(err, "--tables")
	}
	return table.Parse(routes, pools)
}

// progress returns a function that prints the progress of a trial, or nil if w is
// not a terminal.
func progress(w io.Writer) func(trial.Progress) {
	file, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p trial.Progress) {
		fmt.Fprintf(w, "\r\x1b[K%3.0f s of %.0f s  requests %d  answered %d  placements %d  violations %d  %s",
			p.Elapsed.Seconds(), p.Duration.Seconds(), p.Submitted, p.Answered, p.Placements, p.Violations, p.Fault)
		if p.Elapsed >= p.Duration && p.Submitted == p.Answered {
			fmt.Fprintln(w)
		}
	}
}
