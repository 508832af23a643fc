package claim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// runCall is a call of one caller at one instance. The instance claims the key,
// sends the task to the worker and answers the caller.
func (w *world) runCall(id string, r *rand.Rand) {
	time.Sleep(randomDuration(r, 12*time.Second))
	instance := w.instances[r.IntN(len(w.instances))]
	claimRequest := request(id, w.keys[r.IntN(len(w.keys))])
	claimRequest.StartBy = time.Now().Add(500*time.Millisecond + randomDuration(r, 6*time.Second))
	calledAt := time.Now()
	c, err := instance.client.Claim(context.Background(), claimRequest)
	var notGranted *NotGrantedError
	if errors.As(err, &notGranted) {
		w.record(calledAt, operation{key: claimRequest.Key}, false)
		w.recordNotRunAnswer(claimRequest.Key)
		return
	}
	if err != nil || c.Settled() {
		return
	}
	w.record(calledAt, operation{key: claimRequest.Key, task: c.Task}, false)
	outcome := w.startTask(c, r)
	s := Settlement{ID: id, Key: c.Key, Task: c.Task, Outcome: outcome, ReadAt: time.Now()}
	if w.mutation == ignoreReadTime {
		s.ReadAt = c.StartBy.Add(ClockMargin)
	}
	w.settle(instance.client, s)
}

// startTask sends a task to the worker and returns its outcome once it is known
// whether the task ran.
func (w *world) startTask(c Claim, r *rand.Rand) lovagestand.Outcome {
	heldAt := time.Now()
	refuse := r.IntN(2) == 0
	switch r.IntN(4) {
	case 0:
		// The start message is late and its reply is lost. The worker is queried
		// after the start deadline, when the outcome is certain.
		time.AfterFunc(randomDuration(r, 2*time.Second), func() { w.worker.start(c, heldAt, false) })
		if w.mutation == retryAmbiguousStart {
			return lovagestand.OutcomeNotRun
		}
		time.Sleep(time.Until(c.StartBy.Add(ClockMargin)))
		refuse = true
	case 1:
		time.Sleep(randomDuration(r, 2*time.Second))
	}
	if w.worker.start(c, heldAt, refuse) {
		return lovagestand.OutcomeDone
	}
	return lovagestand.OutcomeNotRun
}

// settle records the outcome of a task and answers the caller. If it is too early
// to record a task as not run, the worker is queried again later.
func (w *world) settle(client *Client, s Settlement) {
	for {
		calledAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		c, err := client.Settle(ctx, s)
		cancel()
		var early *TooEarlyError
		if errors.As(err, &early) {
			time.Sleep(time.Until(early.After))
			s.ReadAt = time.Now()
			if w.worker.start(Claim{Task: s.Task}, calledAt, true) {
				s.Outcome = lovagestand.OutcomeDone
			}
			continue
		}
		if s.Outcome != lovagestand.OutcomeNotRun {
			return
		}
		w.record(calledAt, operation{key: s.Key, task: s.Task, settled: true}, err != nil)
		if err == nil && c.Outcome == lovagestand.OutcomeNotRun {
			w.recordNotRunAnswer(s.Key)
		}
		return
	}
}

// recordNotRunAnswer records that a caller is answered that its request has not
// run.
func (w *world) recordNotRunAnswer(key lovagestand.RequestKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notRunAnswers = append(w.notRunAnswers, notRunAnswer{key: key, at: time.Now()})
}

// findViolation returns which guarantee the run violated, as observed by the
// worker and the callers; empty if none. No request may start twice. No caller
// may be answered that its request has not run if the request has started, or
// if it starts later under a claim that was held before the answer. The history
// of claims must be linearizable.
func (w *world) findViolation() string {
	started := make(map[lovagestand.RequestKey]int)
	for _, s := range w.worker.starts {
		started[s.key]++
		if started[s.key] > 1 {
			return fmt.Sprintf("%s started twice", s.key)
		}
		for _, a := range w.notRunAnswers {
			if a.key == s.key && (s.at.Before(a.at) || s.heldAt.Before(a.at)) {
				return fmt.Sprintf("%s ran although a caller was answered that it had not run", s.key)
			}
		}
	}
	if !porcupine.CheckOperations(claimModel().ToModel(), w.history) {
		return "history of claims is not linearizable"
	}
	return ""
}

// operation is one operation on a key: a claim that returned a task, a claim that
// was not granted and has no task, or a settlement of a task as not run.
type operation struct {
	key     lovagestand.RequestKey
	task    lovagestand.TaskID
	settled bool
}

// record adds an operation to the history. If it is unknown whether the operation
// took effect, it may do so at any later time.
func (w *world) record(calledAt time.Time, op operation, unknown bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := porcupine.Operation{Input: op, Output: unknown, Call: calledAt.UnixNano(), Return: time.Now().UnixNano()}
	if unknown {
		o.Return = math.MaxInt64
	}
	w.history = append(w.history, o)
}

// keyState is the state of a key in the model. open is set while the task is the
// current attempt and has not been settled.
type keyState struct {
	task lovagestand.TaskID
	open bool
}

// claimModel is the model of the claims. All requests that claim a key while its
// attempt is open receive the same task. A request that is not granted receives
// none.
func claimModel() *porcupine.NondeterministicModel {
	return &porcupine.NondeterministicModel{
		Partition: operationsByKey,
		Init:      func() []any { return []any{keyState{}} },
		Step: func(state, input, output any) []any {
			current, op := state.(keyState), input.(operation)
			ended := keyState{task: op.task}
			switch {
			case op.settled && output.(bool):
				return []any{current, ended}
			case op.settled && current.task == op.task:
				return []any{ended}
			case op.settled || current.open && op.task != current.task:
				return nil
			case op.task == "":
				return []any{current}
			default:
				return []any{keyState{task: op.task, open: true}}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// operationsByKey splits a history into one history per key.
func operationsByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[lovagestand.RequestKey][]porcupine.Operation)
	for _, o := range history {
		key := o.Input.(operation).key
		byKey[key] = append(byKey[key], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}
