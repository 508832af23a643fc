// Package drill runs the scheduler as real processes on loopback and injects the
// faults of a real machine: kills, pauses, planned stops, and a store that hangs
// or loses replies. The callers in this process send load; the auditor runs in
// the process of the stand-in workers. The package signals processes but does not
// start any itself, see [Starter].
package drill
