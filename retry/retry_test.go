package retry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	lovagestand "lovagestand.example/lovagestand"
)

// countTries returns how many times Do makes a call that fails with err on its
// first three tries and succeeds on the fourth.
func countTries(t *testing.T, effect Effect, err error) (tries int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		_, _ = Do(context.Background(), New(), effect, func(context.Context) (int, error) {
			tries++
			if tries == 4 {
				return 0, nil
			}
			return 0, err
		})
	})
	return tries
}

func TestRetriesOnlyWhenSafe(t *testing.T) {
	for _, test := range []struct {
		err                 error
		start, idempotently int
	}{
		{&lovagestand.RefusedError{}, 4, 4},
		{fmt.Errorf("wrapped: %w", &lovagestand.QueueFullError{}), 4, 4},
		{&NotStartedError{Err: errors.New("x")}, 4, 4},
		{&net.OpError{Op: "dial", Err: errors.New("refused")}, 4, 4},
		{&net.OpError{Op: "read", Err: errors.New("reset")}, 1, 4},
		{&lovagestand.UnavailableError{}, 1, 4},
		{errors.New("anything"), 1, 4},
		{&lovagestand.InfeasibleError{}, 1, 1},
		{&lovagestand.ConflictError{}, 1, 1},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			c := qt.New(t)
			c.Assert(countTries(t, Start, test.err), qt.Equals, test.start)
			c.Assert(countTries(t, Idempotent, test.err), qt.Equals, test.idempotently)
		})
	}
}

func TestBudgetIsAFractionOfCalls(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(WithRatio(0.1), WithFloor(2), WithBurst(10))
	now := time.Unix(0, 0)
	spent := func() (n int) {
		for b.Spend(now) {
			n++
		}
		return n
	}
	c.Assert(spent(), qt.Equals, 10)
	for range 55 {
		b.Earn()
	}
	c.Assert(spent(), qt.Equals, 5)
	now = now.Add(2 * time.Second)
	c.Assert(spent(), qt.Equals, 4)
	now = now.Add(time.Hour)
	c.Assert(spent(), qt.Equals, 10)
}

// outage is an external system that is unavailable for a time. It counts the calls
// in each second.
type outage struct {
	mu          sync.Mutex
	start       time.Time
	from, until time.Duration
	bySecond    map[int]int
}

func (o *outage) call(context.Context) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	elapsed := time.Since(o.start)
	o.bySecond[int(elapsed/time.Second)]++
	if elapsed >= o.from && elapsed < o.until {
		return 0, &lovagestand.UnavailableError{System: "store"}
	}
	return 0, nil
}

// peakLoad returns the largest number of calls in any second during or after an
// outage, as a multiple of the steady rate.
func peakLoad(t *testing.T, r *Retrier, rate int) (peak float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		o := &outage{start: time.Now(), from: 10 * time.Second, until: 40 * time.Second, bySecond: make(map[int]int)}
		var calls sync.WaitGroup
		for range 60 * rate {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				_, _ = Do(ctx, r, Idempotent, o.call)
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		calls.Wait()
		for second := 10; second < 60; second++ {
			peak = max(peak, float64(o.bySecond[second])/float64(rate))
		}
	})
	return peak
}

// TestNoStormAfterOutage guards against retry storms. Without a budget and with
// short, fixed backoff delays, retries multiply the load on a system that is down
// or has just recovered. The budget keeps the load low.
func TestNoStormAfterOutage(t *testing.T) {
	c := qt.New(t)
	generous := NewBudget(WithRatio(1e6), WithBurst(1e9))
	unbounded := peakLoad(t, New(WithBudget(generous), WithBackoff(50*time.Millisecond, 50*time.Millisecond)), 40)
	growing := peakLoad(t, New(WithBudget(generous)), 40)
	bounded := peakLoad(t, New(), 40)
	t.Logf("peak load as a multiple of the steady rate: fixed backoff %.1f, growing backoff %.1f, with budget %.2f", unbounded, growing, bounded)
	c.Assert(unbounded > 10, qt.IsTrue)
	c.Assert(bounded < 3, qt.IsTrue)
	c.Assert(bounded < growing, qt.IsTrue)
}
