// Package audit checks the scheduler's guarantees against what the workers run
// and which answers the callers receive. It uses none of the scheduler's own
// records.
package audit
