package shard

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// asksPerLine is how many calls one pass books on a free line at most.
	asksPerLine = 3
	// maxLineBacklog is how far ahead a line may be booked.
	maxLineBacklog = 1500 * time.Millisecond
	// longCall is a call that must not stand in the way of short ones.
	longCall = 100 * time.Millisecond
	// longLineShare is the share of lines that take long calls.
	longLineShare = 0.7
	// farCost is what a call by an instance of another region takes longer.
	farCost = 80 * time.Millisecond
	// adviceTimeout bounds a call beyond the backlog of its line.
	adviceTimeout = 700 * time.Millisecond
	// adviceCallCost is what each call takes beyond the policy's own time.
	adviceCallCost = 6 * time.Millisecond
	// lineClosedFor is how long a line that failed is left alone.
	lineClosedFor = 500 * time.Millisecond
)

// line is an instance's place in the policy service's line.
type line struct {
	// busyUntil is when the calls under way are expected to be answered.
	busyUntil   time.Time
	closedUntil time.Time
}

// ask asks for advice about workers for a step, if a line is free enough.
func (s *Shard) ask(p *pass, r waitingStep, indexes []int) {
	policy := r.entry.progress.Job().Policy.Advice
	cost := policy.Cost(len(indexes)) + adviceCallCost
	chosen, state := s.pickLine(p.lines, p.now, cost)
	if state == nil {
		return
	}
	begin := laterOf(state.busyUntil, p.now)
	state.busyUntil = begin.Add(cost)
	st := r.entry.step(r.ref)
	names := make([]lovagestand.WorkerName, len(indexes))
	named := make([]*worker, len(indexes))
	for i, index := range indexes {
		named[i] = p.workers[index]
		names[i] = named[i].info.Name
		st.asking[named[i]]++
	}
	step := r.entry.progress.Job().StepName(r.ref.Occurrence, r.ref.Step)
	timeout := begin.Sub(p.now) + cost + adviceTimeout
	s.log.Debug().Str("step", step).Str("by", string(chosen.Instance)).Int("workers", len(names)).Msg("advice asked for")
	go s.advise(chosen, state, r, step, names, named, timeout)
}

// freeAsks returns how many calls the lines can take now.
func (s *Shard) freeAsks(lines []AdviceClient, now time.Time) int {
	n := 0
	for _, l := range lines {
		state := s.lines[l.Instance]
		if state == nil || !state.closedUntil.After(now) && state.busyUntil.Sub(now) < maxLineBacklog {
			n += asksPerLine
		}
	}
	return n
}

// pickLine returns the line that answers a call of a cost first; nil when all
// are booked.
func (s *Shard) pickLine(lines []AdviceClient, now time.Time, cost time.Duration) (AdviceClient, *line) {
	if cost > longCall {
		lines = farFirst(lines)[:longLines(len(lines))]
	}
	var best AdviceClient
	var bestState *line
	var bestAt time.Time
	for _, l := range lines {
		state := s.lines[l.Instance]
		if state == nil {
			state = &line{}
			s.lines[l.Instance] = state
		}
		if state.closedUntil.After(now) || state.busyUntil.Sub(now) > maxLineBacklog {
			continue
		}
		at := laterOf(state.busyUntil, now).Add(cost)
		if !l.Near {
			at = at.Add(farCost)
		}
		if bestState == nil || at.Before(bestAt) {
			best, bestState, bestAt = l, state, at
		}
	}
	return best, bestState
}

func longLines(n int) int {
	return max(1, int(float64(n)*longLineShare))
}

// farFirst puts lines of other regions first: short calls want the near ones.
func farFirst(lines []AdviceClient) []AdviceClient {
	sorted := make([]AdviceClient, 0, len(lines))
	for _, l := range lines {
		if !l.Near {
			sorted = append(sorted, l)
		}
	}
	for _, l := range lines {
		if l.Near {
			sorted = append(sorted, l)
		}
	}
	return sorted
}

func (s *Shard) advise(l AdviceClient, state *line, r waitingStep, step string, names []lovagestand.WorkerName, named []*worker, timeout time.Duration) {
	limited, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	begun := time.Now()
	advice, err := l.Advise(limited, step, names)
	s.deps.Recorder.Observe("adviceTimes", string(r.entry.route), time.Since(begun))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || r.entry.steps == nil {
		return
	}
	now := time.Now()
	st := r.entry.step(r.ref)
	for _, w := range named {
		if st.asking[w]--; st.asking[w] <= 0 {
			delete(st.asking, w)
		}
	}
	if err != nil {
		state.closedUntil = now.Add(lineClosedFor)
		s.log.Warn().Err(err).Str("step", step).Str("by", string(l.Instance)).Msg("no advice")
		s.wake()
		return
	}
	st.advised = true
	s.stats(r.entry.route).learnAdvice(len(names), len(advice.Tickets))
	for _, name := range names {
		if w := s.workers[name]; w != nil {
			st.asked[w] = true
		}
	}
	validity := advice.Validity
	if validity <= 0 {
		validity = r.entry.progress.Job().Policy.Advice.Validity
	}
	for _, t := range advice.Tickets {
		if w := s.workers[t.Worker]; w != nil {
			st.tickets[w] = ticket{value: t.Value, until: now.Add(validity)}
		}
	}
	s.log.Info().Str("step", step).Str("by", string(l.Instance)).Int("asked", len(names)).Int("allowed", len(advice.Tickets)).Msg("advice")
	s.wake()
}
