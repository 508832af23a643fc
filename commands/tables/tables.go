// Package tables is the part of the command line that checks, changes and
// watches the operators' two tables.
package tables

import (
	"fmt"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
	"lovagestand.example/lovagestand/table"
)

// The exit codes of the commands, besides 0 for success.
const (
	// ExitFailed says that the command failed, or that instances are behind.
	ExitFailed = 1
	// ExitInput says that tables or arguments are wrong; nothing was changed.
	ExitInput = 2
	// ExitConflict says that another writer changed the same row.
	ExitConflict = 3
	// ExitStore says that the store did not answer.
	ExitStore = 4
)

// Deps are what the commands reach the outside with.
type Deps struct {
	// Store and Members return the services at a base URL.
	Store   func(base string) lovagestand.Store
	Members func(base string) lovagestand.MemberList
	// Client calls instances.
	Client *http.Client
}

// Defaults of the flags.
const (
	defaultStore   = "http://127.0.0.1:7100"
	defaultMembers = "http://127.0.0.1:7200"
	defaultTimeout = 30 * time.Second
)

// command carries the flags that all subcommands share.
type command struct {
	deps    Deps
	store   string
	members string
	timeout time.Duration
}

// Command returns the command "tables".
func Command(deps Deps) *cobra.Command {
	c := &command{deps: deps}
	root := &cobra.Command{Use: "tables", Short: "Check, change and watch the tables of routes and pools"}
	flags := root.PersistentFlags()
	flags.StringVar(&c.store, "store", defaultStore, "base URL of the platform's key-value service")
	flags.StringVar(&c.members, "members", defaultMembers, "base URL of the platform's member list")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long the command may take")
	root.AddCommand(c.check(), c.fetch(), c.diff(), c.apply(), c.history(), c.status())
	return root
}

// Error is a failure that asks for an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the failure.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code of the program.
func (e *Error) ExitCode() int { return e.Code }

// withExitCode gives a failure its exit code.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: exitCode(err), Err: err}
}

func exitCode(err error) int {
	var withCode *Error
	var fault *document.Error
	var conflict *table.ConflictError
	var base *table.MissingBaseError
	var size *table.SizeError
	var pending *table.UnconfirmedError
	var unavailable *lovagestand.UnavailableError
	switch {
	case errors.As(err, &withCode):
		return withCode.Code
	case errors.As(err, &fault), errors.As(err, &base), errors.As(err, &size):
		return ExitInput
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &pending), errors.As(err, &unavailable):
		return ExitStore
	default:
		return ExitFailed
	}
}

// inputError marks a failure as the operator's to mend.
func inputError(err error) error {
	return &Error{Code: ExitInput, Err: err}
}

// defaultWriter returns who runs the command.
func defaultWriter() string {
	host, _ := os.Hostname()
	current, err := user.Current()
	if err != nil {
		return host
	}
	return fmt.Sprintf("%s@%s", current.Username, host)
}
