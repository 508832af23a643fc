// Package soak runs the real program as separate processes against a stand-in
// platform on one machine and injects faults from outside: signals to the
// processes, loopback proxies in front of the store and of each worker, a store
// and workers that lose or delay calls, and workers that restart without their
// state. It checks what callers and workers observe.
//
// A busy cell has the shape of a large deployment: more nodes, workers in several failure
// domains that are full, teams, urgent jobs beside batch jobs that save checkpoints, and
// either advice or preemption. Its workers leave one after the other or together while links
// are cut, the store is away or orders get lost.
package soak
