// Package admission decides whether a new job can still be of use to its caller behind
// the work that waits ahead of it. It has no clock and no state.
package admission
