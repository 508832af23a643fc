// Package tables implements the commands that check, change and show the operators'
// two tables.
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
	// ExitFailed means that the command failed, or that some instances do not
	// have the accepted revision in force.
	ExitFailed = 1
	// ExitInput means that tables or arguments are invalid. Nothing was changed.
	ExitInput = 2
	// ExitConflict means that another writer changed the same row.
	ExitConflict = 3
	// ExitStore means that the store did not answer.
	ExitStore = 4
)

// Deps are the external dependencies of the commands.
type Deps struct {
	// Store and Members return clients of the services at a base URL.
	Store   func(base string) lovagestand.Store
	Members func(base string) lovagestand.MemberList
	// Client is the HTTP client for calls to instances.
	Client *http.Client
}

// Default values of the flags.
const (
	defaultStore   = "http://127.0.0.1:7100"
	defaultMembers = "http://127.0.0.1:7200"
	defaultTimeout = 30 * time.Second
)

// command holds the dependencies and the flags that all subcommands share.
type command struct {
	deps    Deps
	store   string
	members string
	timeout time.Duration
}

// Command returns the command "tables".
func Command(deps Deps) *cobra.Command {
	c := &command{deps: deps}
	root := &cobra.Command{Use: "tables", Short: "Check, change and show the tables of routes and pools"}
	flags := root.PersistentFlags()
	flags.StringVar(&c.store, "store", defaultStore, "base URL of the platform's key-value service")
	flags.StringVar(&c.members, "members", defaultMembers, "base URL of the platform's member list")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long the command may take")
	root.AddCommand(c.check(), c.fetch(), c.diff(), c.apply(), c.history(), c.status())
	return root
}

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code.
func (e *Error) ExitCode() int { return e.Code }

// withExitCode returns err as an [Error] with the exit code that fits it. It returns
// nil for nil.
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
	var missingBase *table.MissingBaseError
	var size *table.SizeError
	var unconfirmed *table.UnconfirmedError
	var unavailable *lovagestand.UnavailableError
	switch {
	case errors.As(err, &withCode):
		return withCode.Code
	case errors.As(err, &fault), errors.As(err, &missingBase), errors.As(err, &size):
		return ExitInput
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unconfirmed), errors.As(err, &unavailable):
		return ExitStore
	default:
		return ExitFailed
	}
}

// inputError returns err as an [Error] with the exit code [ExitInput].
func inputError(err error) error {
	return &Error{Code: ExitInput, Err: err}
}

// defaultWriter returns the user and host that run the command, such as
// "asha@harrowgate". If the user is not known, it returns the host alone.
func defaultWriter() string {
	host, _ := os.Hostname()
	current, err := user.Current()
	if err != nil {
		return host
	}
	return fmt.Sprintf("%s@%s", current.Username, host)
}
