package trial

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/trial/caller"
)

const (
	// duplicateShare is the share of requests that two callers send at once under
	// one key, cancelShare the share that their callers cancel.
	duplicateShare = 0.03
	cancelShare    = 0.02
	// maxCancelDelay bounds the time from a request to its cancellation.
	maxCancelDelay = 400 * time.Millisecond
)

// sendLoad sends requests until ctx ends. It draws all of them in one goroutine, so
// that the same seed always gives the same requests.
func (t *Trial) sendLoad(ctx context.Context) {
	skipped := 0
	for ctx.Err() == nil {
		pause.For(ctx, t.source.Interval(t.config.Rate))
		t.mutex.Lock()
		full := len(t.openRequests) >= MaxInFlight
		t.mutex.Unlock()
		if full {
			skipped++
			continue
		}
		t.send(t.source.Next())
	}
	if skipped > 0 {
		t.addNote("callers held back while too many requests had no answer")
	}
}

// send sends one request, with its duplicate or cancellation if one is drawn,
// without waiting for the answer.
func (t *Trial) send(request caller.Request) {
	t.mutex.Lock()
	sender := t.callers[t.random.IntN(len(t.callers))]
	duplicateSender := t.callers[t.random.IntN(len(t.callers))]
	choice := t.random.Float64()
	if choice < duplicateShare {
		request = request.WithSharedRefusal()
	}
	cancelDelay := time.Duration(t.random.Int64N(int64(maxCancelDelay)))
	t.openRequests[request.Key] = openRequest{request: request, caller: sender}
	t.mutex.Unlock()

	// The callers wait for their answers beyond the end of the load.
	ctx := context.Background()
	t.callerCalls.Go(func() {
		sender.Run(ctx, request)
		t.mutex.Lock()
		delete(t.openRequests, request.Key)
		t.mutex.Unlock()
	})
	switch {
	case choice < duplicateShare:
		t.callerCalls.Go(func() { duplicateSender.RunDuplicate(ctx, request) })
	case choice < duplicateShare+cancelShare:
		t.callerCalls.Go(func() {
			pause.For(ctx, cancelDelay)
			sender.Cancel(ctx, request)
		})
	}
}

// cancelAll cancels all open requests of a class at once and returns their number.
func (t *Trial) cancelAll(class lovagestand.Class) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, f := range t.openRequests {
		if f.request.Class != class {
			continue
		}
		n++
		t.callerCalls.Go(func() { f.caller.Cancel(context.Background(), f.request) })
	}
	return n
}
