// Package drill runs the scheduler as real processes on loopback and harms them
// as a machine can: kills, stops and continues, planned stops, a store that
// hangs or loses replies. Callers of this process send load; the auditor is in
// the process of the stand-in workers. The package signals processes but starts
// none itself, see [Starter].
package drill
