package job

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// ID names a job; the caller chooses it.
type ID string

// Policy is what the tables say of a job's route when the job is accepted.
type Policy struct {
	Route   lovagestand.RouteName `json:"route"`
	Service string                `json:"service"`
	// Priority 0 goes first.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch times the longest chain of work, plus Target, is the objective.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	Advice  AdvicePolicy  `json:"advice"`
}

// AdvicePolicy says what a call for advice costs; the zero value means that
// the route needs none.
type AdvicePolicy struct {
	Decision  time.Duration `json:"decision,omitempty"`
	PerWorker time.Duration `json:"perWorker,omitempty"`
	Validity  time.Duration `json:"validity,omitempty"`
}

// Needed reports whether steps of the route need tickets.
func (a AdvicePolicy) Needed() bool {
	return a.Validity > 0
}

// Cost returns how long a call about n workers takes.
func (a AdvicePolicy) Cost(n int) time.Duration {
	return a.Decision + time.Duration(n)*a.PerWorker
}

// Step is a number of like tasks.
type Step struct {
	Count int                   `json:"count"`
	Needs lovagestand.Resources `json:"needs"`
	// Estimate is the caller's guess of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that must be done first.
	After        []int                `json:"after,omitempty"`
	Checkpoints  bool                 `json:"checkpoints,omitempty"`
	Gang         bool                 `json:"gang,omitempty"`
	SameRack     bool                 `json:"sameRack,omitempty"`
	Label        string               `json:"label,omitempty"`
	Affinity     lovagestand.RackName `json:"affinity,omitempty"`
	MaxPerWorker int                  `json:"maxPerWorker,omitempty"`
	Speculative  bool                 `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// BestEffort tasks take only what other tasks leave unused.
	BestEffort bool   `json:"filling,omitempty"`
	Image      string `json:"image,omitempty"`
	// MaxUnavailable is how many lasting tasks may be away by our own doing.
	MaxUnavailable int `json:"mayMiss,omitempty"`
	// TailTarget is the response time below which a lasting task must stay.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
}

// Schedule repeats the steps of a job; the zero value runs them once, at once.
type Schedule struct {
	Repeat   int           `json:"repeat,omitempty"`
	Start    int64         `json:"startMillis,omitempty"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Schedule) Occurrences() int {
	return max(1, s.Repeat)
}

// Due returns when occurrence k may begin; the zero time for a job without a
// schedule.
func (s Schedule) Due(k int) time.Time {
	if s.Repeat <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.Start).Add(time.Duration(k) * s.Interval)
}

// Job is what a caller submits.
type Job struct {
	ID       ID       `json:"id"`
	Policy   Policy   `json:"policy"`
	Spec     string   `json:"spec"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule"`
}

// The bounds of what a job may ask for.
const (
	// MaxSpecBytes is the longest spec that workers take.
	MaxSpecBytes = 4000
	// MaxTasks bounds the tasks of all occurrences of one job, so that one
	// job cannot exhaust an instance's memory.
	MaxTasks = 20000
	// MaxSteps bounds the steps of one job.
	MaxSteps = 256
	// MaxResource bounds one resource of one task, far above any worker.
	MaxResource = 1 << 40
)

// InvalidError says which part of a job is wrong.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("job field %s %s", e.Field, e.Reason)
}

// Check returns an [InvalidError] for a job that makes no sense.
func (j Job) Check() error {
	if len(j.Spec) > MaxSpecBytes {
		return &InvalidError{Field: "spec", Reason: fmt.Sprintf("is longer than %d bytes", MaxSpecBytes)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{Field: "steps", Reason: fmt.Sprintf("must have 1 to %d entries", MaxSteps)}
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Count
	}
	if j.Schedule.Repeat < 0 || j.Schedule.Interval < 0 {
		return &InvalidError{Field: "schedule", Reason: "must not be negative"}
	}
	if total > MaxTasks/j.Schedule.Occurrences() {
		return &InvalidError{Field: "steps", Reason: fmt.Sprintf("have more than %d tasks", MaxTasks)}
	}
	return nil
}

func (s Step) check(index int) error {
	field := fmt.Sprintf("steps[%d]", index)
	if s.Count < 1 || s.Count > MaxTasks {
		return &InvalidError{Field: field + ".count", Reason: fmt.Sprintf("must be 1 to %d", MaxTasks)}
	}
	n := s.Needs
	if !n.Valid() || max(n.MilliCPU, n.MemoryMiB, n.Accelerators) > MaxResource {
		return &InvalidError{Field: field, Reason: "has a resource out of range"}
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return &InvalidError{Field: field + ".after", Reason: "must name earlier steps"}
		}
	}
	return nil
}

// TaskName returns the name of a task of an occurrence.
func (j Job) TaskName(t Task) string {
	return fmt.Sprintf("%s.%d.%d.%d", j.ID, t.Occurrence, t.Step, t.Index)
}

// StepName returns the name of a step of an occurrence.
func (j Job) StepName(occurrence, step int) string {
	return fmt.Sprintf("%s.%d.%d", j.ID, occurrence, step)
}

// Task names one task within a job.
type Task struct {
	Occurrence, Step, Index int
}
