// Package clock measures time on a machine that may be suspended.
package clock

import "time"

// Elapsed returns the time since at, by the monotonic or the wall clock, whichever
// shows more: the monotonic clock may stop while a machine is suspended, and the
// wall clock may be set back.
func Elapsed(at time.Time) time.Duration {
	return max(time.Since(at), time.Since(at.Round(0)))
}
