package job

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// Record is the stored state of a job. In the store it is one line of JSON, followed
// by the encoded job until the job has ended.
type Record struct {
	Phase    string                `json:"phase"`
	Route    lovagestand.RouteName `json:"route"`
	Team     lovagestand.TeamName  `json:"team,omitempty"`
	Accepted int64                 `json:"acceptedMillis"`
	// Finished is when the job ended, in milliseconds, or 0 if it may still run.
	Finished int64 `json:"finishedMillis,omitempty"`
	// Held is what the runs of an ended job of a team held when the job ended, including
	// runs that were being stopped; nil if that is nothing.
	Held *lovagestand.Resources `json:"held,omitempty"`
	// Unsubmitted indicates that the job was cancelled before it was submitted, by Team
	// and the teams in CancelledAlsoBy.
	Unsubmitted     bool                   `json:"unsubmitted,omitempty"`
	CancelledAlsoBy []lovagestand.TeamName `json:"cancelledAlsoBy,omitempty"`
	// Moves is how often the job was moved to another shard. MovedTo is the shard that it
	// is being moved to or, if Finished is set, was moved to; empty otherwise.
	Moves   int    `json:"moves,omitempty"`
	MovedTo string `json:"movedTo,omitempty"`
	// DeniedIn holds the shards on whose workers policy does not allow the job to run, with
	// the number of their workers when the job left them.
	DeniedIn map[string]int `json:"deniedIn,omitempty"`
	// Generation is the generation of the owner that accepted the job. It is not set or
	// used at present.
	Generation int64        `json:"generation,omitempty"`
	Tasks      []TaskRecord `json:"tasks,omitempty"`
	Gangs      []GangRecord `json:"gangs,omitempty"`
	// Crashes holds the tasks under which workers have crashed.
	Crashes []CrashRecord `json:"crashes,omitempty"`
	// Checkpoints holds the checkpoints of tasks of which a run was stopped.
	Checkpoints []CheckpointRecord `json:"checkpoints,omitempty"`
	// Suspicions holds the runs that may have crashed their workers.
	Suspicions []SuspicionRecord `json:"suspicions,omitempty"`
}

// TaskRecord is the stored state of a task: the numbers of its occurrence, step and
// index, then the run that succeeded (0 for none), then the runs that failed.
type TaskRecord []int64

// GangRecord is the stored state of a gang: the numbers of its occurrence and step,
// then the runs that failed.
type GangRecord []int64

// CrashRecord is the stored [Crashes] of a task: the numbers of its occurrence, step
// and index, then the confirmed and the suspected crashes.
type CrashRecord [5]int

// CheckpointRecord is the stored checkpoint of a task, or of a gang under its first task.
type CheckpointRecord struct {
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"index,omitempty"`
	Run        int64  `json:"run"`
	Checkpoint string `json:"checkpoint"`
}

// SuspicionRecord is a stored run that may have crashed its worker.
type SuspicionRecord struct {
	Occurrence int                    `json:"occurrence,omitempty"`
	Step       int                    `json:"step,omitempty"`
	Index      int                    `json:"index,omitempty"`
	Run        int64                  `json:"run"`
	Worker     lovagestand.WorkerName `json:"worker"`
	Born       int64                  `json:"born,omitempty"`
	Confirmed  bool                   `json:"confirmed,omitempty"`
	Conclusive bool                   `json:"conclusive,omitempty"`
}

const (
	taskRecordFields = 4
	gangRecordFields = 2
)

// Record returns the state of p that must be stored.
func (p *Progress) Record() Record {
	r := Record{Phase: p.Phase(), Route: p.job.Policy.Route, Team: p.job.Team, Accepted: p.accepted.UnixMilli()}
	for k := range p.occurrences {
		for i := range p.occurrences[k].steps {
			r = r.withStep(k, i, &p.occurrences[k].steps[i])
		}
	}
	return r
}

func (r Record) withStep(occurrence, index int, s *step) Record {
	if len(s.failures) > 0 {
		r.Gangs = append(r.Gangs, append(GangRecord{int64(occurrence), int64(index)}, s.failures...))
	}
	for i := range s.tasks {
		k := &s.tasks[i]
		done := int64(0)
		if k.phase == taskDone {
			done = k.run
		}
		if k.crashes != (Crashes{}) {
			r.Crashes = append(r.Crashes, CrashRecord{occurrence, index, i, k.crashes.Confirmed, k.crashes.Suspected})
		}
		if k.checkpointStored && k.checkpoint != "" {
			r.Checkpoints = append(r.Checkpoints, CheckpointRecord{Occurrence: occurrence, Step: index, Index: i, Run: k.run, Checkpoint: k.checkpoint})
		}
		if k.suspicion.run > 0 {
			r.Suspicions = append(r.Suspicions, SuspicionRecord{
				Occurrence: occurrence, Step: index, Index: i, Run: k.suspicion.run,
				Worker: k.suspicion.worker.Name, Born: k.suspicion.worker.Born, Confirmed: k.suspicion.confirmed, Conclusive: k.suspicion.conclusive,
			})
		}
		if done > 0 || len(k.failures) > 0 {
			r.Tasks = append(r.Tasks, append(TaskRecord{int64(occurrence), int64(index), int64(i), done}, k.failures...))
		}
	}
	return r
}

// Encode returns the encoded record. The encoded job, body, is appended unless the job
// has ended.
func (r Record) Encode(body []byte) ([]byte, error) {
	state, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode job record")
	}
	if r.Finished > 0 {
		return state, nil
	}
	value := make([]byte, 0, len(state)+1+len(body))
	value = append(value, state...)
	value = append(value, '\n')
	return append(value, body...), nil
}

// DecodeRecord decodes a record and returns it with the encoded job, which is empty
// if the job has ended.
func DecodeRecord(value []byte) (Record, []byte, error) {
	state, body, _ := bytes.Cut(value, []byte{'\n'})
	var r Record
	if err := json.Unmarshal(state, &r); err != nil {
		return r, nil, errors.Wrap(err, "decode job record")
	}
	if _, err := chart.Job().State(r.Phase); err != nil {
		return r, nil, err
	}
	return r, body, nil
}

// Restore returns the progress that a record describes. Running tasks are not part
// of the record: workers report them, see [Progress.Adopt].
func Restore(j Job, r Record) (*Progress, error) {
	phase, err := chart.Job().State(r.Phase)
	if err != nil {
		return nil, err
	}
	p := New(j, time.UnixMilli(r.Accepted))
	for _, g := range r.Gangs {
		if err := p.restoreGang(g); err != nil {
			return nil, err
		}
	}
	for _, k := range r.Tasks {
		if err := p.restoreTask(k); err != nil {
			return nil, err
		}
	}
	for _, c := range r.Crashes {
		k := p.task(Task{Occurrence: c[0], Step: c[1], Index: c[2]})
		if k == nil {
			return nil, &RecordError{ID: p.job.ID}
		}
		k.crashes = Crashes{Confirmed: c[3], Suspected: c[4]}
		p.crashed = true
	}
	for _, c := range r.Checkpoints {
		t := Task{Occurrence: c.Occurrence, Step: c.Step, Index: c.Index}
		if p.task(t) == nil {
			return nil, &RecordError{ID: p.job.ID}
		}
		p.ResumeFrom(t, c.Run, c.Checkpoint)
	}
	for _, c := range r.Suspicions {
		k := p.task(Task{Occurrence: c.Occurrence, Step: c.Step, Index: c.Index})
		if k == nil {
			return nil, &RecordError{ID: p.job.ID}
		}
		k.suspicion = suspicion{
			run: c.Run, worker: lovagestand.WorkerIncarnation{Name: c.Worker, Born: c.Born}, confirmed: c.Confirmed, conclusive: c.Conclusive,
		}
	}
	if chart.Job().Final(phase) || p.phase == jobQueued {
		p.phase = phase
	}
	return p, nil
}

// RecordError is returned if a record does not match its job.
type RecordError struct {
	ID ID
}

// Error implements error.
func (e *RecordError) Error() string {
	return "record of job " + string(e.ID) + " does not match the job"
}

func (p *Progress) restoreGang(g GangRecord) error {
	if len(g) < gangRecordFields || !p.Valid(Task{Occurrence: int(g[0]), Step: int(g[1])}) {
		return &RecordError{ID: p.job.ID}
	}
	s := &p.stepsOf(int(g[0]))[g[1]]
	s.failures = failures(g[gangRecordFields:])
	for _, run := range s.failures {
		s.run = max(s.run, run)
	}
	return nil
}

func (p *Progress) restoreTask(r TaskRecord) error {
	if len(r) < taskRecordFields {
		return &RecordError{ID: p.job.ID}
	}
	t := Task{Occurrence: int(r[0]), Step: int(r[1]), Index: int(r[2])}
	if !p.Valid(t) {
		return &RecordError{ID: p.job.ID}
	}
	s := &p.stepsOf(t.Occurrence)[t.Step]
	k := &s.tasks[t.Index]
	k.failures = failures(r[taskRecordFields:])
	for _, run := range k.failures {
		k.run = max(k.run, run)
	}
	s.run = max(s.run, k.run, r[3])
	if r[3] > 0 {
		p.finishTask(t, r[3])
	}
	return nil
}

// EncodeJob returns the encoded job, to be decoded with [DecodeJob].
func EncodeJob(j Job) ([]byte, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	// Escaped, some characters would take six bytes each.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(j); err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return bytes.Clone(bytes.TrimSuffix(body.Bytes(), []byte{'\n'})), nil
}

// DecodeJob decodes a job that [EncodeJob] returned and checks it, see [Job.Check].
func DecodeJob(body []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(body, &j); err != nil {
		return j, errors.Wrap(err, "decode job")
	}
	return j, j.Check()
}
