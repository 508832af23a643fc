// Package trial runs the whole path in one process on loopback: stand-ins for
// the platform, nine instances in three regions, callers with a bounded load,
// and faults on demand, all watched by an auditor.
package trial
