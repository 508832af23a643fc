package job

import "lovagestand.example/lovagestand/chart"

// The chart states that this package sets.
var (
	jobQueued    = chart.Job().MustState("queued")
	jobRunning   = chart.Job().MustState("running")
	jobCompleted = chart.Job().MustState("completed")
	jobFailed    = chart.Job().MustState("failed")
	jobCancelled = chart.Job().MustState("cancelled")

	taskWaiting   = chart.JobTask().MustState("waiting")
	taskActive    = chart.JobTask().MustState("active")
	taskDone      = chart.JobTask().MustState("done")
	taskExhausted = chart.JobTask().MustState("exhausted")
)
