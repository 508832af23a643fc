// Package audit judges what the scheduler promises by what truly happens at
// the workers and what callers are told. It reads nothing of the scheduler's
// own books.
package audit
