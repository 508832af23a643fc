package lovagestand

// QuarantineDecider is a [Decider] that keeps new work from workers that fail
// what others run.
type QuarantineDecider interface {
	Decider
	// Quarantined reports whether a worker is being kept from new work.
	Quarantined(worker WorkerName) bool
}
