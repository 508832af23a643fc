// Package commands implements the command line of lovagestand. Each command is a
// thin layer over a library package.
package commands

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/commands/operate"
	"lovagestand.example/lovagestand/commands/standin"
	"lovagestand.example/lovagestand/commands/trial"
	"lovagestand.example/lovagestand/common/document"
	"lovagestand.example/lovagestand/common/logfmt"
)

// The exit codes of the program.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command failed while it ran.
	ExitFailed = 1
	// ExitInput means that arguments, settings or tables are invalid. Nothing was
	// started or changed.
	ExitInput = 2
)

// exitCoder is an error with an exit code of its own.
type exitCoder interface {
	error
	ExitCode() int
}

// InputError is returned for invalid arguments or settings.
type InputError struct {
	Err error
}

// Error implements error.
func (e *InputError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *InputError) Unwrap() error { return e.Err }

// ExitCode returns [ExitInput].
func (e *InputError) ExitCode() int { return ExitInput }

// Execute runs the command line and returns the exit code. The commands are
// cancelled by SIGINT and SIGTERM.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot(logfmt.New(errOut))
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "lovagestand:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var errs document.Errors
	var coder exitCoder
	switch {
	case errors.As(err, &coder):
		return coder.ExitCode()
	case errors.As(err, &errs):
		return ExitInput
	}
	return ExitFailed
}

func newRoot(log zerolog.Logger) *cobra.Command {
	c := &cobra.Command{
		Use:           "lovagestand",
		Short:         "A cluster scheduler for unlike workloads",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(operate.Commands(http.DefaultClient)...)
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &InputError{Err: err} })
	c.AddCommand(newServe(log), newNode(), newTables(), standin.New(log), trial.New(log))
	return c
}
