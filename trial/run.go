package trial

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand/report"
)

const (
	// sampleEvery is the time between samples; a long trial has fewer.
	sampleEvery = 250 * time.Millisecond
	maxSamples  = 240
	// drainWithin is how long callers may wait for their last answers.
	drainWithin = 70 * time.Second
	// inForceWithin is how long the last tables may take to be in force
	// everywhere.
	inForceWithin = 13 * time.Second
)

// run sends load, puts in faults and measures until all is answered.
func (t *Trial) run(ctx context.Context) report.Report {
	t.began = time.Now()
	s := newSampler(t)
	measuring, stopMeasuring := context.WithCancel(context.Background())
	var measurers sync.WaitGroup
	measurers.Go(func() { s.run(measuring) })
	measurers.Go(func() { t.tables.follow(measuring) })

	loading, stopLoading := context.WithTimeout(ctx, t.config.Duration)
	var loaders sync.WaitGroup
	loaders.Go(func() { t.load(loading) })
	loaders.Go(func() { t.tables.edit(loading) })
	loaders.Go(func() { t.putIn(loading) })
	loaders.Wait()
	stopLoading()

	t.drain(ctx)
	t.tables.settle(ctx)
	now := time.Now()
	t.record.Close(now)
	stopMeasuring()
	measurers.Wait()
	return t.report(s, now)
}

// drain waits until the callers have their answers or have given up.
func (t *Trial) drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		t.flying.Wait()
		close(done)
	}()
	timer := time.NewTimer(drainWithin)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// report sums up what was measured until now.
func (t *Trial) report(s *sampler, now time.Time) report.Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var starts []report.InstanceStart
	for _, n := range t.nodes {
		starts = append(starts, n.start(t.began))
	}
	return report.Report{
		Started:   t.began,
		Seed:      t.config.Seed,
		Seconds:   t.config.Duration.Seconds(),
		Instances: len(t.firm.Regions) * InstancesPerRegion,
		Workers:   t.firm.Workers,
		Starts:    starts,
		Faults:    t.faults,
		Kinds:     t.record.result(),
		Totals:    s.totals(now),
		Samples:   s.samples,
		Audit:     t.record.Result(),
		Notes:     t.notes,
	}
}
