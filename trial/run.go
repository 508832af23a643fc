package trial

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand/report"
)

const (
	// sampleInterval is the least time between samples. A long trial has longer
	// intervals, so that it takes at most maxSamples while load is sent.
	sampleInterval = 250 * time.Millisecond
	maxSamples     = 240
	// drainTimeout bounds the wait for the last answers to callers.
	drainTimeout = 70 * time.Second
	// inForceTimeout bounds the time until the last tables are in force in all
	// instances.
	inForceTimeout = 13 * time.Second
)

// run sends load, injects faults and measures until the callers have their
// answers.
func (t *Trial) run(ctx context.Context) report.Report {
	t.startedAt = time.Now()
	sampler := newSampler(t)
	measureCtx, cancelMeasuring := context.WithCancel(context.Background())
	var measurers sync.WaitGroup
	measurers.Go(func() { sampler.run(measureCtx) })
	measurers.Go(func() { t.tables.pollRevisions(measureCtx) })

	loadCtx, cancelLoading := context.WithTimeout(ctx, t.config.Duration)
	var loaders sync.WaitGroup
	loaders.Go(func() { t.sendLoad(loadCtx) })
	loaders.Go(func() { t.tables.editUntilDone(loadCtx) })
	loaders.Go(func() { t.injectFaults(loadCtx) })
	loaders.Wait()
	cancelLoading()

	t.drain(ctx)
	t.tables.awaitInForce(ctx)
	now := time.Now()
	t.recorder.Close(now)
	cancelMeasuring()
	measurers.Wait()
	return t.report(sampler, now)
}

// drain waits until the callers have their answers or have given up, at most for
// drainTimeout.
func (t *Trial) drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		t.callerCalls.Wait()
		close(done)
	}()
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// report returns the measurements up to now.
func (t *Trial) report(sampler *sampler, now time.Time) report.Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var starts []report.InstanceStart
	for _, n := range t.nodes {
		starts = append(starts, n.instanceStart(t.startedAt))
	}
	return report.Report{
		Started:   t.startedAt,
		Seed:      t.config.Seed,
		Seconds:   t.config.Duration.Seconds(),
		Instances: len(t.firm.Regions) * InstancesPerRegion,
		Workers:   t.firm.Workers,
		Starts:    starts,
		Faults:    t.faults,
		Kinds:     t.recorder.routeOutcomes(),
		Totals:    sampler.totals(now),
		Samples:   sampler.samples,
		Audit:     t.recorder.Result(),
		Notes:     t.notes,
	}
}
