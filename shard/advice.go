package shard

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// callsPerClient is how many calls one pass books on a free line at most.
	callsPerClient = 3
	// maxAdviceBacklog is how far ahead a line may be booked.
	maxAdviceBacklog = 1500 * time.Millisecond
	// longCallThreshold is a call that must not stand in the way of short ones.
	longCallThreshold = 100 * time.Millisecond
	// longCallClientShare is the share of lines that take long calls.
	longCallClientShare = 0.7
	// remoteCallDelay is what a call by an instance of another region takes longer.
	remoteCallDelay = 80 * time.Millisecond
	// adviceTimeout bounds a call beyond the backlog of its line.
	adviceTimeout = 700 * time.Millisecond
	// adviceCallOverhead is what each call takes beyond the policy's own time.
	adviceCallOverhead = 6 * time.Millisecond
	// adviceFailurePause is how long a line that failed is left alone.
	adviceFailurePause = 500 * time.Millisecond
)

// adviceSlot is an instance's place in the policy service's line.
type adviceSlot struct {
	// busyUntil is when the calls under way are expected to be answered.
	busyUntil   time.Time
	pausedUntil time.Time
}

// requestAdvice asks for advice about workers for a step, if a line is free enough.
func (s *Shard) requestAdvice(p *pass, waiting waitingStep, indexes []int) {
	policy := waiting.entry.progress.Job().Policy.Advice
	cost := policy.Cost(len(indexes)) + adviceCallOverhead
	chosen, slot := s.pickAdviceClient(p.adviceClients, p.now, cost)
	if slot == nil {
		return
	}
	begin := later(slot.busyUntil, p.now)
	slot.busyUntil = begin.Add(cost)
	st := waiting.entry.step(waiting.ref)
	names := make([]lovagestand.WorkerName, len(indexes))
	requested := make([]*worker, len(indexes))
	for i, index := range indexes {
		requested[i] = p.workers[index]
		names[i] = requested[i].info.Name
		st.pendingRequests[requested[i]]++
	}
	step := waiting.entry.progress.Job().StepName(waiting.ref.Occurrence, waiting.ref.Step)
	timeout := begin.Sub(p.now) + cost + adviceTimeout
	s.log.Debug().Str("step", step).Str("by", string(chosen.Instance)).Int("workers", len(names)).Msg("advice asked for")
	go s.fetchAdvice(chosen, slot, waiting, step, names, requested, timeout)
}

// freeAdviceCalls returns how many calls the lines can take now.
func (s *Shard) freeAdviceCalls(clients []AdviceClient, now time.Time) int {
	n := 0
	for _, l := range clients {
		slot := s.adviceSlots[l.Instance]
		if slot == nil || !slot.pausedUntil.After(now) && slot.busyUntil.Sub(now) < maxAdviceBacklog {
			n += callsPerClient
		}
	}
	return n
}

// pickAdviceClient returns the line that answers a call of a cost first; nil when all
// are booked.
func (s *Shard) pickAdviceClient(clients []AdviceClient, now time.Time, cost time.Duration) (AdviceClient, *adviceSlot) {
	if cost > longCallThreshold {
		clients = remoteFirst(clients)[:longCallClients(len(clients))]
	}
	var best AdviceClient
	var bestSlot *adviceSlot
	var bestAt time.Time
	for _, l := range clients {
		slot := s.adviceSlots[l.Instance]
		if slot == nil {
			slot = &adviceSlot{}
			s.adviceSlots[l.Instance] = slot
		}
		if slot.pausedUntil.After(now) || slot.busyUntil.Sub(now) > maxAdviceBacklog {
			continue
		}
		at := later(slot.busyUntil, now).Add(cost)
		if !l.Near {
			at = at.Add(remoteCallDelay)
		}
		if bestSlot == nil || at.Before(bestAt) {
			best, bestSlot, bestAt = l, slot, at
		}
	}
	return best, bestSlot
}

func longCallClients(clients int) int {
	return max(1, int(float64(clients)*longCallClientShare))
}

// remoteFirst puts lines of other regions first: short calls want the near ones.
func remoteFirst(clients []AdviceClient) []AdviceClient {
	sorted := make([]AdviceClient, 0, len(clients))
	for _, l := range clients {
		if !l.Near {
			sorted = append(sorted, l)
		}
	}
	for _, l := range clients {
		if l.Near {
			sorted = append(sorted, l)
		}
	}
	return sorted
}

func (s *Shard) fetchAdvice(client AdviceClient, slot *adviceSlot, waiting waitingStep, step string, names []lovagestand.WorkerName, requested []*worker, timeout time.Duration) {
	limited, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	begun := time.Now()
	advice, err := client.Advise(limited, step, names)
	s.deps.Recorder.Observe("adviceTimes", string(waiting.entry.route), time.Since(begun))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || waiting.entry.steps == nil {
		return
	}
	now := time.Now()
	st := waiting.entry.step(waiting.ref)
	for _, w := range requested {
		if st.pendingRequests[w]--; st.pendingRequests[w] <= 0 {
			delete(st.pendingRequests, w)
		}
	}
	if err != nil {
		slot.pausedUntil = now.Add(adviceFailurePause)
		s.log.Warn().Err(err).Str("step", step).Str("by", string(client.Instance)).Msg("no advice")
		s.wake()
		return
	}
	st.advised = true
	s.stats(waiting.entry.route).recordAdvice(len(names), len(advice.Tickets))
	for _, name := range names {
		if w := s.workers[name]; w != nil {
			st.decided[w] = true
		}
	}
	validity := advice.Validity
	if validity <= 0 {
		validity = waiting.entry.progress.Job().Policy.Advice.Validity
	}
	for _, t := range advice.Tickets {
		if w := s.workers[t.Worker]; w != nil {
			st.tickets[w] = ticket{value: t.Value, until: now.Add(validity)}
		}
	}
	s.log.Info().Str("step", step).Str("by", string(client.Instance)).Int("asked", len(names)).Int("allowed", len(advice.Tickets)).Msg("advice")
	s.wake()
}
