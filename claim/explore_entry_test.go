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

// request is one caller's call at one entry, which claims the key, sends the
// task to the worker and answers.
func (w *world) request(id string, r *rand.Rand) {
	time.Sleep(upTo(r, 12*time.Second))
	entry := w.instances[r.IntN(len(w.instances))]
	q := request(id, w.keys[r.IntN(len(w.keys))])
	q.StartBy = time.Now().Add(500*time.Millisecond + upTo(r, 6*time.Second))
	called := time.Now()
	c, err := entry.client.Claim(context.Background(), q)
	var notGranted *NotGrantedError
	if errors.As(err, &notGranted) {
		w.record(called, step{key: q.Key}, false)
		w.answerNotRun(q.Key)
		return
	}
	if err != nil || c.Settled() {
		return
	}
	w.record(called, step{key: q.Key, task: c.Task}, false)
	outcome := w.start(c, r)
	s := Settlement{ID: id, Key: c.Key, Task: c.Task, Outcome: outcome, ReadAt: time.Now()}
	if w.mutation == ignoreReadTime {
		s.ReadAt = c.StartBy.Add(ClockMargin)
	}
	w.settle(entry.client, s)
}

// start sends a task to the worker until it is known whether it ran.
func (w *world) start(c Claim, r *rand.Rand) lovagestand.Outcome {
	held := time.Now()
	refuse := r.IntN(2) == 0
	switch r.IntN(4) {
	case 0:
		// The message is late and its reply lost: ask once it is decided.
		time.AfterFunc(upTo(r, 2*time.Second), func() { w.worker.run(c, held, false) })
		if w.mutation == retryAmbiguousRun {
			return lovagestand.OutcomeNotRun
		}
		time.Sleep(time.Until(c.StartBy.Add(ClockMargin)))
		refuse = true
	case 1:
		time.Sleep(upTo(r, 2*time.Second))
	}
	if w.worker.run(c, held, refuse) {
		return lovagestand.OutcomeDone
	}
	return lovagestand.OutcomeNotRun
}

// settle records the outcome and answers the caller.
func (w *world) settle(client *Client, s Settlement) {
	for {
		called := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		c, err := client.Settle(ctx, s)
		cancel()
		var early *TooEarlyError
		if errors.As(err, &early) {
			time.Sleep(time.Until(early.After))
			s.ReadAt = time.Now()
			if w.worker.run(Claim{Task: s.Task}, called, true) {
				s.Outcome = lovagestand.OutcomeDone
			}
			continue
		}
		if s.Outcome != lovagestand.OutcomeNotRun {
			return
		}
		w.record(called, step{key: s.Key, task: s.Task, settled: true}, err != nil)
		if err == nil && c.Outcome == lovagestand.OutcomeNotRun {
			w.answerNotRun(s.Key)
		}
		return
	}
}

func (w *world) answerNotRun(key lovagestand.RequestKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, answer{key: key, at: time.Now()})
}

// judge returns what the run violated, as seen at the worker and the callers.
func (w *world) judge() string {
	started := make(map[lovagestand.RequestKey]int)
	for _, s := range w.worker.starts {
		started[s.key]++
		if started[s.key] > 1 {
			return fmt.Sprintf("%s started twice", s.key)
		}
		for _, a := range w.answers {
			if a.key == s.key && (s.at.Before(a.at) || s.held.Before(a.at)) {
				return fmt.Sprintf("%s was told not run but ran", s.key)
			}
		}
	}
	if !porcupine.CheckOperations(claimModel().ToModel(), w.history) {
		return "history of claims is not linearizable"
	}
	return ""
}

// step is one operation on a key: a claim that gave a task, or none, or a
// settlement of a task as not run.
type step struct {
	key     lovagestand.RequestKey
	task    lovagestand.TaskID
	settled bool
}

// record adds an operation; one of unknown effect may happen at any later time.
func (w *world) record(called time.Time, s step, unknown bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := porcupine.Operation{Input: s, Output: unknown, Call: called.UnixNano(), Return: time.Now().UnixNano()}
	if unknown {
		o.Return = math.MaxInt64
	}
	w.history = append(w.history, o)
}

// held is the state of a key: whether the task is an open attempt.
type held struct {
	task lovagestand.TaskID
	open bool
}

// claimModel gives one task to all who claim a key while its attempt is open,
// and none to those who are told not granted.
func claimModel() *porcupine.NondeterministicModel {
	return &porcupine.NondeterministicModel{
		Partition: partition,
		Init:      func() []any { return []any{held{}} },
		Step: func(state, input, output any) []any {
			h, s := state.(held), input.(step)
			ended := held{task: s.task}
			switch {
			case s.settled && output.(bool):
				return []any{h, ended}
			case s.settled && h.task == s.task:
				return []any{ended}
			case s.settled || h.open && s.task != h.task:
				return nil
			case s.task == "":
				return []any{h}
			default:
				return []any{held{task: s.task, open: true}}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[lovagestand.RequestKey][]porcupine.Operation)
	for _, o := range history {
		key := o.Input.(step).key
		byKey[key] = append(byKey[key], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}
