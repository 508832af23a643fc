package placer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
)

func TestRemovedRouteEndsOnlyWaitingRequests(t *testing.T) {
	inBubble(t, func(x *fixture) {
		var answers []chan lovagestand.Answer
		for _, id := range []string{"runs", "runs too", "waits"} {
			task := newTask(id)
			task.Route = "removed"
			answer := make(chan lovagestand.Answer, 1)
			answers = append(answers, answer)
			go func() { answer <- x.settle(task, runFor(20*time.Second), false) }()
			time.Sleep(100 * time.Millisecond)
		}
		waits := <-answers[2]
		x.Assert(waits.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(waits.Reason, qt.Contains, "removed")
		x.Assert(x.attempts("waits"), qt.Equals, 0)
		x.Assert((<-answers[0]).Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert((<-answers[1]).Outcome, qt.Equals, lovagestand.OutcomeDone)
	})
}
