// Package trial runs an end-to-end test in one process on loopback: stand-ins for
// the platform, nine instances in three regions, callers with a bounded load and
// optional faults. An auditor observes all of them.
package trial
