// Package soak runs the real program as separate processes against a stand-in
// platform on one machine and injects faults from outside: signals to the
// processes, loopback proxies in front of the store and of each worker, a store
// and workers that lose or delay calls, and workers that restart without their
// state. It checks what callers and workers observe.
package soak
