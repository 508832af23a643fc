// Package nanos carries times in messages, as nanoseconds since 1970. The zero
// time is 0.
package nanos

import "time"

// FromTime returns the nanoseconds of a time.
func FromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// ToTime returns the time that n nanoseconds stand for.
func ToTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
