// Package speed learns how fast the workers of a fleet are from the run times of tasks, and
// decides whether the fleet counts as uneven. It separates the speed of a worker, which
// lasts, from errors of estimates, from single slow runs and from temporary degradations.
// It has no clock and no goroutines.
package speed
