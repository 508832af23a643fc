package fleet

import (
	"context"
	"encoding/json"
	"time"

	"lovagestand.example/lovagestand"
)

// Checkpoint stops a task and returns where to resume it, see
// [lovagestand.Workers]. A task that has ended is refused.
func (w *Worker) Checkpoint(ctx context.Context, task lovagestand.TaskID) ([]byte, error) {
	var text []byte
	err := w.do(ctx, func(now time.Time) error {
		r := w.tasks[task]
		if r == nil || r.report.Phase.Ended() {
			return w.refused("task does not run")
		}
		if !r.report.Task.Checkpoints {
			return w.refused("task cannot be resumed")
		}
		left := max(0, r.left-now.Sub(r.report.Started))
		text = marshalCheckpoint(left)
		w.end(r, lovagestand.TaskStopped, "checkpointed")
		return nil
	})
	if err != nil {
		return nil, err
	}
	return text, nil
}

// checkpoint is where to resume a task.
type checkpoint struct {
	Left Duration `json:"left"`
}

func marshalCheckpoint(left time.Duration) []byte {
	text, err := json.Marshal(checkpoint{Left: Duration(left)})
	if err != nil {
		panic(err) // a checkpoint holds nothing that cannot be encoded
	}
	return text
}

// resume returns what is left of a task, all of it where that is not told.
func resume(text []byte, all time.Duration) time.Duration {
	c := checkpoint{Left: Duration(all)}
	if json.Unmarshal(text, &c) != nil {
		return all
	}
	return time.Duration(c.Left)
}
