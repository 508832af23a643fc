package dispatch

import (
	"slices"
	"time"
)

const (
	// trialShare is the inverse of the largest share of the workers on which suspects
	// start, or which are kept for them, at the same time. A gang may exceed it.
	trialShare = 3
	// TrialGap is the minimum time between the moments at which suspects of different steps
	// that share a worker would crash it, so that a crash tells which of them has caused it.
	TrialGap = 500 * time.Millisecond
	// maxSuspectWait is how long a suspect waits for a quiet worker before one is kept for it.
	maxSuspectWait = 2 * time.Second
	// keptBonus is subtracted from the cost of the workers that are kept for the step.
	keptBonus = 100
)

// trialsLeft returns how many more workers may be given to suspects. It answers the load
// of many tasks that crash their workers: most workers must remain for other tasks.
func trialsLeft(workers []Worker) int {
	open, trials := 0, 0
	for i := range workers {
		if workers[i].Open {
			open++
		}
		if workers[i].OnTrial {
			trials++
		}
	}
	return max(1, (open+trials)/trialShare) - trials
}

// sharesTrial reports whether the suspects of a step may start on a worker beside those that are
// on trial there. It answers the load of many suspects after the loss of one worker: with a
// worker to each of them for the whole trial, the last ones wait for many trials.
func (p *planner) sharesTrial(s *Step, w *Worker) bool {
	if s.Gang || s.Suspects == 0 || len(s.CrashAges) < s.Suspects || !w.SharesTrials || !w.Quiet || w.starts > 0 && w.keptFor != s.number {
		return false
	}
	return !slices.ContainsFunc(w.CrashTimes, func(at time.Time) bool {
		return slices.ContainsFunc(s.CrashAges[:s.Suspects], func(age time.Duration) bool { return p.Now.Add(age).Sub(at).Abs() < TrialGap })
	})
}

// grantTrialTurn has the suspect that has waited longest decided before others. It answers the
// load of steps of higher score that start tasks on each worker so often that none is quiet: a
// worker is kept for the suspect against these too. It does so for one step at a time, and not
// for suspects whose former run had just started: with many tasks that crash their workers,
// these would always have a worker.
func (p *planner) grantTrialTurn() {
	oldest := -1
	for i := range p.Steps {
		s := &p.Steps[i]
		if len(s.CrashAges) == 0 || s.Gang || s.Waited < maxSuspectWait || oldest >= 0 && s.Waited <= p.Steps[oldest].Waited {
			continue
		}
		if slices.ContainsFunc(p.eligible(s, true), func(worker int) bool { return s.Needs.Fits(p.Workers[worker].Free) }) {
			oldest = i
		}
	}
	if oldest >= 0 {
		p.Steps[oldest].trialTurn = true
	}
}

// trialWorker returns the worker for one suspect of a step: one that is kept for the step
// already, or else the one that has the least work to lose, which it keeps for the step. If
// a task has started there recently, the worker is only kept, for a later pass.
func (p *planner) trialWorker(s *Step, eligible []int, count map[int]int) (int, bool) {
	mayKeep := p.trials > 0 || s.Gang && len(count) > 0
	worker, ok := p.cheapest(s, eligible, count, func(i int) (float64, bool) {
		w := &p.Workers[i]
		cost := p.penalty(s, i) - p.freeShare(s, i)
		if w.keptFor == s.number {
			return cost - keptBonus, true
		}
		return cost, (mayKeep || !w.Open) && w.starts == 0
	})
	if !ok {
		return worker, false
	}
	w := &p.Workers[worker]
	if w.keptFor == 0 {
		w.keptFor = s.number
		if w.Open {
			p.trials--
		}
	}
	p.held = p.held || !w.Quiet
	return worker, w.Quiet
}
