package worker

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Action is what is done about a task that outgrew its reservation.
type Action string

// The actions, mildest first.
const (
	ActionNone Action = "none"
	// ActionThrottle holds the task to its reserved processors.
	ActionThrottle Action = "throttle"
	// ActionCheckpoint stops the task so that it can resume with more.
	ActionCheckpoint Action = "checkpoint"
	// ActionStop stops the task for good.
	ActionStop Action = "stop"
)

// Overuse is what is known of a task that may have outgrown its reservation.
type Overuse struct {
	Reserved, Usage lovagestand.Resources
	// Spare is what its worker has beyond all reservations.
	Spare lovagestand.Resources
	// Age is how old the usage report is.
	Age time.Duration
	// Reports is how many reports in a row were over the reservation.
	Reports     int
	Throttled   bool
	Checkpoints bool
}

const (
	// maxReportAge is the age at which a report says nothing any more.
	maxReportAge = time.Minute
	// sustainedReports is how many reports in a row make a lasting overuse.
	sustainedReports = 3
	// toleranceNumerator and slackDenominator are the overuse that is let pass.
	toleranceNumerator, toleranceDenominator = 11, 10
)

// ActionFor decides what to do about a task. Processors are throttled. Memory
// cannot be taken back, so a task over its memory is stopped: at once where
// its worker has none to spare, else when it lasts. Accelerators are held
// whole, so any beyond the reservation are treated as memory is.
func ActionFor(o Overuse) Action {
	if o.Age > maxReportAge {
		return ActionNone
	}
	over := o.Usage.Sub(o.Reserved)
	overHeld := over.MemoryMiB > 0 && exceedsTolerance(o.Usage.MemoryMiB, o.Reserved.MemoryMiB) || over.Accelerators > 0
	noSpare := over.MemoryMiB > o.Spare.MemoryMiB || over.Accelerators > o.Spare.Accelerators
	if overHeld && (noSpare || o.Reports >= sustainedReports) {
		return o.stopAction()
	}
	if exceedsTolerance(o.Usage.MilliCPU, o.Reserved.MilliCPU) && !o.Throttled && o.Reports > 1 {
		return ActionThrottle
	}
	return ActionNone
}

func (o Overuse) stopAction() Action {
	if o.Checkpoints {
		return ActionCheckpoint
	}
	return ActionStop
}

func exceedsTolerance(usage, reserved int64) bool {
	return usage*toleranceDenominator > reserved*toleranceNumerator
}
