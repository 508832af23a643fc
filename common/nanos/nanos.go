// Package nanos converts between times and the nanoseconds since the Unix epoch
// that represent them in messages. The zero time is represented by 0.
package nanos

import "time"

// FromTime returns the nanoseconds that represent t.
func FromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// ToTime returns the time that n nanoseconds represent.
func ToTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
