package document

import (
	"fmt"
	"strings"
)

// Error is one fault in a document.
type Error struct {
	File string
	// Line counts from 1; 0 if the fault belongs to no line.
	Line int
	// Key is the path of the key, such as "routes[2].pool".
	Key     string
	Problem string
	// Hint says how to mend the fault; empty if nothing is known.
	Hint string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": %s", e.Key)
	}
	fmt.Fprintf(&b, ": %s", e.Problem)
	if e.Hint != "" {
		fmt.Fprintf(&b, " (%s)", e.Hint)
	}
	return b.String()
}

// Errors are all faults of one or more documents, in reading order.
type Errors []*Error

// Error implements error, one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives the single faults to errors.As.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, err := range e {
		errs[i] = err
	}
	return errs
}

// ErrorOrNil returns e, or nil where there is no fault.
func (e Errors) ErrorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
