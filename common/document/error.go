package document

import (
	"fmt"
	"strings"
)

// Error describes one problem in a document.
type Error struct {
	File string
	// Line counts from 1. It is 0 if the problem belongs to no line.
	Line int
	// Key is the path of the key, such as "routes[2].pool".
	Key     string
	Problem string
	// Hint describes how to fix the problem. It may be empty.
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

// Errors holds all errors of one or more documents, in reading order.
type Errors []*Error

// Error implements error. It returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single errors for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, err := range e {
		errs[i] = err
	}
	return errs
}

// ErrorOrNil returns e, or nil if e is empty.
func (e Errors) ErrorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
