package fleet

import (
	"context"
	"encoding/json"
	"time"

	"lovagestand.example/lovagestand"
)

// Checkpoint stops a task and returns the checkpoint to resume it from, see
// [lovagestand.Workers]. It refuses a task that does not run or cannot be
// resumed.
func (w *Worker) Checkpoint(ctx context.Context, task lovagestand.TaskID) ([]byte, error) {
	var data []byte
	err := w.do(ctx, func(now time.Time) error {
		r := w.tasks[task]
		if r == nil || r.report.Phase.Ended() {
			return w.refused("task does not run")
		}
		if !r.report.Task.Checkpoints {
			return w.refused("task cannot be resumed")
		}
		remaining := max(0, r.runTime-now.Sub(r.report.Started))
		data = marshalCheckpoint(remaining)
		w.end(r, lovagestand.TaskStopped, "checkpointed")
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// checkpoint is the JSON form of a checkpoint.
type checkpoint struct {
	Remaining Duration `json:"left"`
}

func marshalCheckpoint(remaining time.Duration) []byte {
	data, err := json.Marshal(checkpoint{Remaining: Duration(remaining)})
	if err != nil {
		panic(err) // a checkpoint can always be encoded
	}
	return data
}

// remainingRunTime returns the run time that a checkpoint leaves to a task. It
// returns the full run time if the checkpoint does not contain one.
func remainingRunTime(data []byte, full time.Duration) time.Duration {
	c := checkpoint{Remaining: Duration(full)}
	if json.Unmarshal(data, &c) != nil {
		return full
	}
	return time.Duration(c.Remaining)
}
