package shard

import (
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// refusedStart returns the cause of a run that was not executed because its start was refused.
func refusedStart(reason lovagestand.RefusalReason) lossCause {
	return lossCause("refused:" + string(reason))
}

// lostRun is the last run of a task that ended without a result or was not executed as far
// as this owner knows.
type lostRun struct {
	run    int64
	worker lovagestand.WorkerName
	cause  lossCause
}

// The kinds of double run, as named in metrics.
const (
	// doubleConcurrent is a run that a worker lists while the task runs elsewhere.
	doubleConcurrent = "concurrent"
	// doubleAfterDone is a run of a task of which a worker lists an earlier end as done.
	doubleAfterDone = "afterDone"
)

// recordLost records why a run of a task counts as over, for the logs of later runs.
func (p *placement) recordLost(cause lossCause) {
	if p.entry.lost == nil {
		p.entry.lost = map[string]lostRun{}
	}
	p.entry.lost[p.name] = lostRun{run: p.run, worker: p.worker.info.Name, cause: cause}
}

// logLost adds to an event why the last run of a task counts as over, if one was lost.
func (e *jobEntry) logLost(event *zerolog.Event, task string) *zerolog.Event {
	lost, ok := e.lost[task]
	if !ok {
		return event
	}
	return event.Int64("lostRun", lost.run).Str("lostOn", string(lost.worker)).Str("lostReason", string(lost.cause))
}

// recordDoubleRun reports that a worker lists a run, or its end, although this owner has
// started the task again or knows of another run.
func (s *Shard) recordDoubleRun(kind string, w *worker, task string, run int64, other *placement) {
	s.deps.Recorder.Count("doubleRuns", kind)
	event := s.log.Warn().Str("kind", kind).Str("task", task).Int64("run", run).Str("worker", string(w.info.Name)).
		Int64("otherRun", other.run).Str("otherWorker", string(other.worker.info.Name)).Bool("otherConfirmed", other.started).Bool("otherAdopted", other.adopted)
	other.entry.logLost(event, task).Msg("task runs twice as far as its workers tell")
}
