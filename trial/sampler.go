package trial

import (
	"context"
	"time"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/trial/network"
)

// sampler takes measurements at regular intervals.
type sampler struct {
	trial    *Trial
	interval time.Duration
	samples  []report.Sample

	// callsBefore and bytesBefore are the counts at the start of the load, which
	// the totals exclude.
	callsBefore kv.Counts
	bytesBefore network.Bytes
	lastAt      time.Time
	// lastStarts and lastCalls are the counts at the last sample.
	lastStarts int
	lastCalls  uint64
}

func newSampler(t *Trial) *sampler {
	s := &sampler{
		trial:       t,
		interval:    max(sampleInterval, t.config.Duration/maxSamples),
		callsBefore: t.store.Counts(),
		bytesBefore: t.network.Bytes(),
		lastAt:      t.startedAt,
	}
	s.lastCalls = s.callsBefore.Total()
	return s
}

// run takes samples until ctx ends, and a last one then.
func (s *sampler) run(ctx context.Context) {
	last := time.Time{}
	for pause.For(ctx, s.interval) {
		s.sample(time.Now())
		if p := s.trial.config.Progress; p != nil && time.Since(last) >= time.Second {
			last = time.Now()
			p(s.trial.progress())
		}
	}
	s.sample(time.Now())
}

func (s *sampler) sample(now time.Time) {
	t := s.trial
	usage := t.recorder.Usage()
	calls := t.store.Counts().Total()
	seconds := max(now.Sub(s.lastAt).Seconds(), 1e-3)
	s.samples = append(s.samples, report.Sample{
		AtMillis:            float64(now.Sub(t.startedAt).Milliseconds()),
		PlacementsPerSecond: float64(usage.Starts-s.lastStarts) / seconds,
		StoreCallsPerSecond: float64(calls-s.lastCalls) / seconds,
		Running:             usage.Running,
		Packing:             usage.Packing,
		Share:               usage.Share,
		Violations:          t.recorder.Result().Total(),
		Waiting:             t.recorder.recentWaits(),
	})
	s.lastAt, s.lastStarts, s.lastCalls = now, usage.Starts, calls
}

// totals returns the totals. Placements a second, packing and share refer to the
// time in which load was sent, calls and bytes to the whole time until now.
func (s *sampler) totals(now time.Time) report.Totals {
	t := s.trial
	calls, bytes := t.store.Counts(), t.network.Bytes()
	seconds := now.Sub(t.startedAt).Seconds()
	nodes := float64(len(t.firm.Regions) * InstancesPerRegion)
	control := bytes.Control() - s.bytesBefore.Control()
	r := report.Totals{
		StoreCallsPerSecond: callRates(s.callsBefore, calls, seconds),
		StoreLimited:        calls.Limited,
		StoreMostWaiting:    calls.MostWaiting,
		ControlBytes:        control,
		ControlBytesPerNode: float64(control) / seconds / nodes,
		PaidBytes:           bytes.AcrossRegions - s.bytesBefore.AcrossRegions,
		CallerBytes:         bytes.Callers - s.bytesBefore.Callers,
		LinkBytes: []report.LinkBytes{
			{Link: "instances", Bytes: bytes.Instances - s.bytesBefore.Instances},
			{Link: "workers", Bytes: bytes.Workers - s.bytesBefore.Workers},
			{Link: "store", Bytes: bytes.Store - s.bytesBefore.Store},
			{Link: "member list", Bytes: bytes.MemberList - s.bytesBefore.MemberList},
		},
	}
	s.setMeans(&r)
	t.tables.setTotals(&r)
	return r
}

// setMeans sets the placements and the means over the time in which load was sent.
func (s *sampler) setMeans(r *report.Totals) {
	r.Placements = s.trial.recorder.Usage().Starts
	r.PlacementsPerSecond = float64(r.Placements) / s.trial.config.Duration.Seconds()
	n := 0
	for _, sample := range s.samples {
		if sample.AtMillis > float64(s.trial.config.Duration.Milliseconds()) {
			break
		}
		n++
		r.Packing += sample.Packing
		r.Share += sample.Share
	}
	if n > 0 {
		r.Packing /= float64(n)
		r.Share /= float64(n)
	}
}

// callRates returns the rate of each kind of store call between two counts.
func callRates(from, to kv.Counts, seconds float64) []report.StoreCallRate {
	rate := func(kind kv.CallKind, before, after uint64) report.StoreCallRate {
		return report.StoreCallRate{Kind: string(kind), PerSecond: float64(after-before) / seconds}
	}
	return []report.StoreCallRate{
		rate(kv.CallGet, from.Get, to.Get),
		rate(kv.CallList, from.List, to.List),
		rate(kv.CallPut, from.Put, to.Put),
		rate(kv.CallDelete, from.Delete, to.Delete),
		rate(kv.CallWatch, from.Watch, to.Watch),
		rate(kv.CallGrant, from.Grant, to.Grant),
		rate(kv.CallRenew, from.Renew, to.Renew),
	}
}

// progress returns the progress of the trial.
func (t *Trial) progress() Progress {
	sent, answered := t.recorder.progress()
	return Progress{
		Elapsed:    time.Since(t.startedAt),
		Duration:   t.config.Duration,
		Submitted:  sent,
		Answered:   answered,
		Placements: t.recorder.Usage().Starts,
		Violations: t.recorder.Result().Total(),
		Fault:      t.activeFaults(),
	}
}
