// Package soak runs the real program as separate processes against a stand-in
// platform on one machine and injects faults from outside: signals, a loopback
// proxy before the store and before each worker, and a store and workers that
// lose, delay and forget. It checks what callers and workers see.
package soak
