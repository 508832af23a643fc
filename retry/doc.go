// Package retry repeats calls that failed, with pauses that spread the callers
// and with a budget that bounds the repeats to a fraction of the calls.
//
// It never repeats a start whose outcome is unknown: a start is repeated only
// after an error that says that nothing was started, see [KindOf].
package retry
