package lovagestand

// QuarantineDecider is a [Decider] that quarantines workers on which tasks fail
// that succeed elsewhere. A quarantined worker gets no new tasks.
type QuarantineDecider interface {
	Decider
	// Quarantined reports whether a worker is quarantined.
	Quarantined(worker WorkerName) bool
}
