package trial

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/trial/caller"
)

const (
	// twice is the share of requests that are sent through two instances at
	// once under one key, withdrawn the share that their callers cancel.
	twice     = 0.03
	withdrawn = 0.02
	// withdrawWithin bounds how soon a caller cancels.
	withdrawWithin = 400 * time.Millisecond
)

// load sends requests until ctx ends. It draws them all in one goroutine, so
// that a seed always gives the same ones.
func (t *Trial) load(ctx context.Context) {
	held := 0
	for ctx.Err() == nil {
		pause.For(ctx, t.source.Interval(t.config.Rate))
		t.mutex.Lock()
		full := len(t.open) >= MaxInFlight
		t.mutex.Unlock()
		if full {
			held++
			continue
		}
		t.send(t.source.Next())
	}
	if held > 0 {
		t.note("callers held back while too many requests had no answer")
	}
}

// send sends one request and what goes with it, without waiting.
func (t *Trial) send(w caller.Request) {
	t.mutex.Lock()
	c := t.callers[t.random.IntN(len(t.callers))]
	also := t.callers[t.random.IntN(len(t.callers))]
	drawn := t.random.Float64()
	if drawn < twice {
		w = w.WithSharedRefusal()
	}
	wait := time.Duration(t.random.Int64N(int64(withdrawWithin)))
	t.open[w.Key] = inFlight{work: w, caller: c}
	t.mutex.Unlock()

	// The callers wait beyond the trial's own end.
	ctx := context.Background()
	t.flying.Go(func() {
		c.Run(ctx, w)
		t.mutex.Lock()
		delete(t.open, w.Key)
		t.mutex.Unlock()
	})
	switch {
	case drawn < twice:
		t.flying.Go(func() { also.RunDuplicate(ctx, w) })
	case drawn < twice+withdrawn:
		t.flying.Go(func() {
			pause.For(ctx, wait)
			c.Cancel(ctx, w)
		})
	}
}

// cancelAll cancels all requests of a class that wait for an answer, at once.
func (t *Trial) cancelAll(class lovagestand.Class) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, f := range t.open {
		if f.work.Class != class {
			continue
		}
		n++
		t.flying.Go(func() { f.caller.Cancel(context.Background(), f.work) })
	}
	return n
}
