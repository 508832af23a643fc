package shard

import (
	"time"

	"lovagestand.example/lovagestand"
)

// summaryInterval is the minimum time between two summaries of the load in the log.
const summaryInterval = time.Second

// firstUnanswered returns the first of the workers that may still run tasks of a former owner.
func (s *Shard) firstUnanswered() lovagestand.WorkerName {
	first := lovagestand.WorkerName("")
	for name := range s.unresolved {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// recordPass records how long a planning pass took.
func (s *Shard) recordPass(took time.Duration) {
	s.deps.Recorder.Observe("planTimes", "pass", took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passes++
	s.slowestPass = max(s.slowestPass, took)
}

// summarize logs how much of the workers' capacity is in use and how much work waits.
func (s *Shard) summarize(p *pass) {
	if p.now.Sub(s.summarizedAt) < summaryInterval {
		return
	}
	s.summarizedAt, p.summarizes = p.now, true
	var capacity, used, open lovagestand.Resources
	for i, w := range p.workers {
		capacity = capacity.Add(w.info.Capacity)
		used = used.Add(w.info.Capacity.Sub(w.free))
		if p.dispatchWorkers[i].Open {
			open = open.Add(w.info.Capacity)
		}
	}
	gangs, gangMilliCPU, otherSteps, otherMilliCPU, unadvised := 0, int64(0), 0, int64(0), 0
	for _, w := range p.waiting {
		j := w.entry.progress.Job()
		step := j.Steps[w.ref.Step]
		if step.Gang {
			gangs++
			gangMilliCPU += step.Needs.MilliCPU * int64(w.tasks)
		} else {
			otherSteps++
			otherMilliCPU += step.Needs.MilliCPU * int64(w.tasks)
		}
		if j.Policy.Advice.Needed() && !w.entry.step(w.ref).advised {
			unadvised++
		}
	}
	backlog := time.Duration(0)
	for _, slot := range s.adviceSlots {
		backlog += max(0, slot.busyUntil.Sub(p.now))
	}
	event := s.log.Info()
	if len(p.held) > 0 {
		event = event.Int("jobsOfFormerOwner", len(p.held)).Int("unanswered", len(s.unresolved)).Str("firstUnanswered", string(s.firstUnanswered()))
	}
	event.Int("live", len(s.live)).Int64("milliCPU", capacity.MilliCPU).Int64("openMilliCPU", open.MilliCPU).
		Int64("usedMilliCPU", used.MilliCPU).Int64("usedMemoryMiB", used.MemoryMiB).Int64("memoryMiB", capacity.MemoryMiB).
		Int("gangsWaiting", gangs).Int64("gangMilliCPU", gangMilliCPU).Int("stepsWaiting", otherSteps).Int64("stepMilliCPU", otherMilliCPU).
		Int("unadvised", unadvised).Dur("adviceBacklog", backlog).
		Int("passes", s.passes).Dur("slowestPass", s.slowestPass).Msg("load")
	s.passes, s.slowestPass = 0, 0
}
