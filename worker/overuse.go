package worker

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Action is the action taken on a task that exceeds its reservation.
type Action string

// The actions, in order of increasing severity.
const (
	ActionNone Action = "none"
	// ActionThrottle limits the task to its reserved processor time.
	ActionThrottle Action = "throttle"
	// ActionCheckpoint stops the task so that it can resume with a larger
	// reservation.
	ActionCheckpoint Action = "checkpoint"
	// ActionStop stops the task for good.
	ActionStop Action = "stop"
)

// Overuse describes the usage of a task that may exceed its reservation.
type Overuse struct {
	Reserved, Usage lovagestand.Resources
	// Spare is the capacity of the task's worker beyond all reservations.
	Spare lovagestand.Resources
	// Age is the age of the usage report.
	Age time.Duration
	// Reports is the number of consecutive reports that exceeded the
	// reservation.
	Reports     int
	Throttled   bool
	Checkpoints bool
}

const (
	// maxReportAge is the age beyond which a report is ignored.
	maxReportAge = time.Minute
	// sustainedReports is the number of consecutive reports after which overuse
	// counts as sustained.
	sustainedReports = 3
	// toleranceNumerator and toleranceDenominator form the ratio of usage to
	// reservation up to which overuse is tolerated.
	toleranceNumerator, toleranceDenominator = 11, 10
)

// ActionFor returns the action to take on a task. Overuse of processor time leads
// to throttling. Memory cannot be reclaimed from a running task, so a task that
// exceeds its memory is stopped: at once if its worker has no spare memory,
// otherwise once the overuse is sustained. Accelerators are held as whole units, so
// any accelerator beyond the reservation is treated like memory.
func ActionFor(o Overuse) Action {
	if o.Age > maxReportAge {
		return ActionNone
	}
	over := o.Usage.Sub(o.Reserved)
	overReservation := over.MemoryMiB > 0 && exceedsTolerance(o.Usage.MemoryMiB, o.Reserved.MemoryMiB) || over.Accelerators > 0
	noSpare := over.MemoryMiB > o.Spare.MemoryMiB || over.Accelerators > o.Spare.Accelerators
	if overReservation && (noSpare || o.Reports >= sustainedReports) {
		return o.stopAction()
	}
	if exceedsTolerance(o.Usage.MilliCPU, o.Reserved.MilliCPU) && !o.Throttled && o.Reports > 1 {
		return ActionThrottle
	}
	return ActionNone
}

// stopAction returns the action that stops the task and, if possible, lets it
// resume later.
func (o Overuse) stopAction() Action {
	if o.Checkpoints {
		return ActionCheckpoint
	}
	return ActionStop
}

// exceedsTolerance reports whether usage exceeds the reservation by more than is
// tolerated.
func exceedsTolerance(usage, reserved int64) bool {
	return usage*toleranceDenominator > reserved*toleranceNumerator
}
