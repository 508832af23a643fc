package job

import (
	"fmt"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// ID identifies a job. The caller chooses it.
type ID string

// Policy is the configuration of a job's route at the time the job is accepted.
type Policy struct {
	// Version is the version of the configuration; 0 in records of earlier program versions.
	Version int64                 `json:"version,omitempty"`
	Route   lovagestand.RouteName `json:"route"`
	Service string                `json:"service"`
	// Priority is the priority of the job; 0 is the highest.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and Target set the job's objective: Stretch times the expected run
	// time of its critical path, plus Target.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	Advice  AdvicePolicy  `json:"advice"`
}

// AdvicePolicy describes the cost of advice calls. The zero value means that the
// route needs no advice.
type AdvicePolicy struct {
	// FixedDuration is the fixed duration of a call, PerWorker what each worker adds.
	FixedDuration time.Duration `json:"decision,omitempty"`
	PerWorker     time.Duration `json:"perWorker,omitempty"`
	// Validity is how long a ticket is valid.
	Validity time.Duration `json:"validity,omitempty"`
}

// Needed reports whether the tasks of the route need tickets.
func (a AdvicePolicy) Needed() bool {
	return a.Validity > 0
}

// Cost returns the expected duration of an advice call that names n workers.
func (a AdvicePolicy) Cost(n int) time.Duration {
	return a.FixedDuration + time.Duration(n)*a.PerWorker
}

// Step is a group of identical tasks.
type Step struct {
	Count int                   `json:"count"`
	Needs lovagestand.Resources `json:"needs"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After contains the indexes of earlier steps that must be done first.
	After        []int                `json:"after,omitempty"`
	Checkpoints  bool                 `json:"checkpoints,omitempty"`
	Gang         bool                 `json:"gang,omitempty"`
	SameRack     bool                 `json:"sameRack,omitempty"`
	Label        string               `json:"label,omitempty"`
	Affinity     lovagestand.RackName `json:"affinity,omitempty"`
	MaxPerWorker int                  `json:"maxPerWorker,omitempty"`
	Speculative  bool                 `json:"speculative,omitempty"`
	// LongRunning indicates that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// BestEffort indicates that the tasks use only resources that other tasks leave
	// unused.
	BestEffort bool   `json:"filling,omitempty"`
	Image      string `json:"image,omitempty"`
	// MaxUnavailable is the largest number of long-running tasks that the scheduler
	// itself may have stopped at the same time.
	MaxUnavailable int `json:"mayMiss,omitempty"`
	// TailTarget is the upper limit of a long-running task's response time.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
}

// MinStart returns how many of the step's tasks must be able to start at the same time: all
// of a gang.
func (s *Step) MinStart() int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// Schedule repeats the steps of a job. The zero value runs them once, immediately.
type Schedule struct {
	Repeat   int           `json:"repeat,omitempty"`
	Start    int64         `json:"startMillis,omitempty"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Schedule) Occurrences() int {
	return max(1, s.Repeat)
}

// Due returns when occurrence k may start, or the zero time for a job without a
// schedule.
func (s Schedule) Due(k int) time.Time {
	if s.Repeat <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.Start).Add(time.Duration(k) * s.Interval)
}

// Job is a job as submitted, with the policy of its route.
type Job struct {
	ID ID `json:"id"`
	// Team is the team whose key the job was submitted with; empty on a public route and
	// in a deployment without teams.
	Team     lovagestand.TeamName `json:"team,omitempty"`
	Policy   Policy               `json:"policy"`
	Spec     string               `json:"spec"`
	Steps    []Step               `json:"steps"`
	Schedule Schedule             `json:"schedule"`
}

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (j Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// The limits of a job.
const (
	// MaxSpecBytes is the longest spec that workers accept, in bytes.
	MaxSpecBytes = 4000
	// MaxTasks limits the tasks of all occurrences of a job, so that a single job
	// cannot exhaust the memory of an instance.
	MaxTasks = 20000
	// MaxSteps limits the steps of a job.
	MaxSteps = 256
	// MaxResource limits each resource of a task; no worker comes near it.
	MaxResource = 1 << 40
)

// InvalidError is returned for an invalid job and names the field at fault.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("job field %s %s", e.Field, e.Reason)
}

// Check returns an [InvalidError] if the job is not valid.
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

// Task identifies a task within a job.
type Task struct {
	Occurrence, Step, Index int
}
