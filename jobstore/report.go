package jobstore

import "time"

const (
	// failureReportAfter is how long a write may fail before that is reported, and
	// failureReportInterval is the least time between two reports.
	failureReportAfter    = 200 * time.Millisecond
	failureReportInterval = 500 * time.Millisecond
	// minTermForReport is how long a term must have lasted before missing replies are
	// reported. If they have ended the term before, the next owner misses them too: the
	// store loses the replies of all instances.
	minTermForReport = 10 * time.Second
)

// writeFailure describes a write that fails.
type writeFailure struct {
	// failingFor is the time since the write began, termLasted since the term began, and
	// sinceReport since the last report.
	failingFor, termLasted, sinceReport time.Duration
	// rejected reports whether the store has rejected the last attempt.
	rejected bool
	// afterOutage reports whether an outage of the store has just ended.
	afterOutage bool
}

// reportable reports whether other instances are to be asked to end the ownership. A
// missing reply after an outage is no reason, since the outage is the likely cause; a
// rejection is one, as the store may reject this owner alone.
func (f writeFailure) reportable() bool {
	if !f.rejected && (f.afterOutage || f.termLasted < minTermForReport) {
		return false
	}
	return f.failingFor >= failureReportAfter && f.sinceReport >= failureReportInterval
}
