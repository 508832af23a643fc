package job

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// Record is a job as it is kept in the store: a line of state, then the job
// itself as long as it may still run.
type Record struct {
	Phase    string                `json:"phase"`
	Route    lovagestand.RouteName `json:"route"`
	Accepted int64                 `json:"acceptedMillis"`
	// Finished is when the job ended; 0 while it may still run.
	Finished int64 `json:"finishedMillis,omitempty"`
	// Generation is that of the owner that accepted the job.
	Generation int64        `json:"generation,omitempty"`
	Tasks      []TaskRecord `json:"tasks,omitempty"`
	Gangs      []GangRecord `json:"gangs,omitempty"`
}

// TaskRecord is what must last of one task: occurrence, step, index, done (1),
// failed runs and the last run that failed or was done.
type TaskRecord [6]int64

// GangRecord is what must last of one gang: occurrence, step, failures and the
// last run that failed.
type GangRecord [4]int64

// Record returns what must last of p.
func (p *Progress) Record() Record {
	r := Record{Phase: p.Phase(), Route: p.job.Policy.Route, Accepted: p.accepted.UnixMilli()}
	for k := range p.occurrences {
		for i := range p.occurrences[k].steps {
			r = r.withStep(k, i, &p.occurrences[k].steps[i])
		}
	}
	return r
}

func (r Record) withStep(occurrence, index int, s *step) Record {
	if s.failures > 0 {
		r.Gangs = append(r.Gangs, GangRecord{int64(occurrence), int64(index), int64(s.failures), s.failedRun})
	}
	for i := range s.tasks {
		k := &s.tasks[i]
		done, last := int64(0), k.failedRun
		if k.phase == taskDone {
			done, last = 1, k.run
		}
		if done > 0 || k.failures > 0 {
			r.Tasks = append(r.Tasks, TaskRecord{int64(occurrence), int64(index), int64(i), done, int64(k.failures), last})
		}
	}
	return r
}

// Encode returns the bytes of a record; body is the encoded job, left out of
// a job that has ended.
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

// DecodeRecord returns a record and the encoded job, which is empty for a job
// that has ended.
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

// Restore returns the progress that a record describes. Runs that were under
// way are not part of it: workers tell of those.
func Restore(j Job, r Record) (*Progress, error) {
	phase, err := chart.Job().State(r.Phase)
	if err != nil {
		return nil, err
	}
	p := New(j, time.UnixMilli(r.Accepted))
	for _, g := range r.Gangs {
		if !p.valid(Task{Occurrence: int(g[0]), Step: int(g[1])}) {
			continue
		}
		s := &p.open(int(g[0]))[g[1]]
		s.failures, s.failedRun = int(g[2]), g[3]
		s.run = max(s.run, g[3])
	}
	for _, k := range r.Tasks {
		p.restoreTask(Task{Occurrence: int(k[0]), Step: int(k[1]), Index: int(k[2])}, k)
	}
	if chart.Job().Final(phase) || p.phase == jobQueued {
		p.phase = phase
	}
	return p, nil
}

func (p *Progress) restoreTask(t Task, r TaskRecord) {
	if !p.valid(t) {
		return
	}
	s := &p.open(t.Occurrence)[t.Step]
	s.tasks[t.Index].failures = int(r[4])
	s.tasks[t.Index].failedRun = r[5]
	s.tasks[t.Index].run = r[5]
	s.run = max(s.run, r[5])
	if r[3] == 1 {
		p.finishTask(t, r[5])
	}
}

// EncodeJob returns the bytes of a job.
func EncodeJob(j Job) ([]byte, error) {
	body, err := json.Marshal(j)
	return body, errors.Wrap(err, "encode job")
}

// DecodeJob returns the job of bytes that EncodeJob made, checked.
func DecodeJob(body []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(body, &j); err != nil {
		return j, errors.Wrap(err, "decode job")
	}
	return j, j.Check()
}
