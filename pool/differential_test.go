package pool_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
	"lovagestand.example/lovagestand/pool/naive"
)

// TestAgreesWithNaive makes the same calls to the decider and to the naive one
// and compares the results. The options switch off what the naive decider
// lacks.
func TestAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAuditor(checker(t), pool.New("s", pool.WithFixedHeadroom(), pool.WithoutLoadShedding(), pool.WithoutAgeing(),
			pool.WithoutQuarantine(), pool.WithClaimTimeout(time.Hour)))
		n := naive.New("s")
		for i := range smallInt(t, 80, "steps") {
			stepBoth(t, a, n, i)
		}
	})
}

func stepBoth(t *rapid.T, a *auditor, n *naive.Decider, i int) {
	a.now = a.now.Add(time.Duration(smallInt(t, 1500, "passes")) * time.Millisecond)
	callBoth(t, a, n, i)
	decisions := n.Decide(a.now, nil)
	assertSameDecisions(t, a.decider.Decide(a.now, nil), decisions)
	for _, d := range decisions {
		a.place(d.Task, d.Worker)
	}
	assertSameDigests(t, a.decider.Digest(a.now), n.Digest(a.now))
}

// callBoth makes one random call to both deciders.
func callBoth(t *rapid.T, a *auditor, n *naive.Decider, i int) {
	both := []lovagestand.Decider{a.decider, n}
	switch smallInt(t, 11, "step") {
	case 0:
		p := []lovagestand.PoolPolicy{randomPolicy(t)}
		for _, d := range both {
			d.SetPolicies(p)
		}
	case 1, 2:
		w := randomWorker(t)
		for _, d := range both {
			d.SetWorker(a.now, w, "frames")
		}
	case 3:
		name := randomWorker(t).Name
		assertSameTasks(t, a.decider.RemoveWorker(a.now, name), n.RemoveWorker(a.now, name))
	case 4:
		task, on := randomTask(t, i, a.now), randomWorker(t).Name
		task.Gang = ""
		task.GangSize = 0
		for _, d := range both {
			d.Adopt(a.now, task, on)
		}
		a.place(task, on)
	case 5:
		if id, ok := pick(t, a.waiting); ok {
			assertSameCancel(t, a.decider.Cancel(id), n.Cancel(id))
		}
	case 6, 7:
		if id, ok := pick(t, a.placed); ok {
			for _, d := range both {
				d.Finish(a.now, id, lovagestand.TaskResult{Phase: lovagestand.TaskDone, Ran: time.Second})
			}
		}
	default:
		task := randomTask(t, i, a.now)
		errs := [2]error{a.decider.Submit(a.now, task), n.Submit(a.now, task)}
		checker(t).Assert(fmt.Sprintf("%T", errs[0]), qt.Equals, fmt.Sprintf("%T", errs[1]))
		a.waiting[task.ID] = task
	}
}

func assertSameTasks(t *rapid.T, got, want []lovagestand.Task) {
	checker(t).Assert(got, qt.DeepEquals, want)
}

func assertSameCancel(t *rapid.T, got, want bool) {
	checker(t).Assert(got, qt.Equals, want)
}

// assertSameDecisions compares decisions without their reasons and retry
// delays. Their order must be the same, except for that of expiries.
func assertSameDecisions(t *rapid.T, got, want []lovagestand.Decision) {
	checker(t).Assert(normalize(got), qt.DeepEquals, normalize(want))
}

func normalize(decisions []lovagestand.Decision) []lovagestand.Decision {
	out := slices.Clone(decisions)
	for i := range out {
		out[i].Reason = ""
		out[i].RetryAfter = 0
	}
	slices.SortStableFunc(out, func(a, b lovagestand.Decision) int {
		expires := lovagestand.DecisionExpire
		if a.Kind == expires && b.Kind == expires {
			return cmp.Compare(a.Task.ID, b.Task.ID)
		}
		return 0
	})
	return out
}

func assertSameDigests(t *rapid.T, got, want lovagestand.Digest) {
	for i := range got.Pools {
		got.Pools[i].Wait = nil
	}
	for i := range want.Pools {
		want.Pools[i].Wait = nil
	}
	checker(t).Assert(got, qt.DeepEquals, want)
}
