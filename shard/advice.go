package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

const (
	// callsPerClient is the number of calls that a planning pass may request for each
	// free client.
	callsPerClient = 3
	// maxAdviceBacklog is how far ahead calls may be scheduled on a client.
	// maxHeldAdviceBacklog is the same where advice is planned as a scarce resource; see
	// [dispatch.Load.HoldRenewals]. It is longer than a round trip to the farthest region,
	// so that no client is idle between two calls, and otherwise as short as possible:
	// calls wait in the order of the steps' scores rather than in a client's queue.
	maxAdviceBacklog     = 1500 * time.Millisecond
	maxHeldAdviceBacklog = 200 * time.Millisecond
	// renewalMargin is how long after the expected reply the room of a gang is held.
	renewalMargin = 150 * time.Millisecond
	// longCallThreshold is the duration above which a call counts as long. Long calls
	// must not delay short ones.
	longCallThreshold = 100 * time.Millisecond
	// minLongCallWorkers is the number of workers by whose call a step is judged.
	minLongCallWorkers = 48
	// longCallClientShare is the share of the clients that serve long calls.
	longCallClientShare = 0.7
	// remoteCallDelay is how much longer a call takes through an instance in another
	// region.
	remoteCallDelay = 80 * time.Millisecond
	// adviceTimeout is the timeout of a call beyond its expected duration and the
	// backlog of its client; see callTimes.
	adviceTimeout = 700 * time.Millisecond
	// adviceCallOverhead is how long each call takes beyond the policy's own time.
	adviceCallOverhead = 6 * time.Millisecond
	// adviceFailurePause is how long a client gets no calls after one has failed.
	adviceFailurePause = 500 * time.Millisecond
)

// adviceSlot is the schedule of the calls through one advice client.
type adviceSlot struct {
	// busyUntil is when all pending calls are expected to be answered.
	busyUntil time.Time
	// pausedUntil is until when the client gets no calls after a failure.
	pausedUntil time.Time
}

// requestAdvice requests the advice of a decision for a step, unless every client has
// too long a backlog, or any if the decision is for an idle client.
func (s *Shard) requestAdvice(p *pass, waiting waitingStep, d dispatch.Decision) {
	indexes := d.AdviceFor
	policy := waiting.entry.progress.Job().Policy.Advice
	stated := policy.Cost(len(indexes)) + adviceCallOverhead
	cost := s.statsOf(waiting.entry).callTimes.expected(stated)
	backlog := p.adviceBacklog()
	if d.IfIdle {
		backlog = 0
	}
	chosen, slot := s.pickAdviceClient(p.adviceClients, p.now, cost, backlog)
	if slot == nil {
		return
	}
	begin := later(slot.busyUntil, p.now)
	slot.busyUntil = begin.Add(cost)
	st := waiting.entry.step(waiting.ref)
	if len(d.Hold) > 0 {
		until := slot.busyUntil.Add(renewalMargin)
		if len(st.pendingRequests) > 0 {
			until = later(until, st.heldUntil)
		}
		st.held, st.heldUntil = nil, until
		for _, index := range d.Hold {
			st.held = append(st.held, p.workers[index])
		}
	}
	names := make([]lovagestand.WorkerName, len(indexes))
	requested := make([]*worker, len(indexes))
	for i, index := range indexes {
		requested[i] = p.workers[index]
		names[i] = requested[i].info.Name
		st.pendingRequests[requested[i]]++
	}
	step := waiting.entry.progress.Job().StepName(waiting.ref.Occurrence, waiting.ref.Step)
	call := adviceCall{begin: begin, stated: stated, expected: cost, timeout: begin.Sub(p.now) + cost + adviceTimeout}
	s.log.Debug().Str("step", step).Str("by", string(chosen.Instance)).Int("workers", len(names)).Msg("advice requested")
	go s.fetchAdvice(chosen, slot, waitingStep{entry: waiting.entry, ref: waiting.ref}, step, names, requested, call)
}

// adviceBacklog returns how far ahead the pass may schedule calls on a client.
func (p *pass) adviceBacklog() time.Duration {
	if p.holdRenewals {
		return maxHeldAdviceBacklog
	}
	return maxAdviceBacklog
}

// freeAdviceCalls returns how many calls can be scheduled on the clients now.
func (s *Shard) freeAdviceCalls(clients []AdviceClient, now time.Time, backlog time.Duration) int {
	n := 0
	for _, c := range clients {
		slot := s.adviceSlots[c.Instance]
		if slot == nil || !slot.pausedUntil.After(now) && slot.busyUntil.Sub(now) < backlog {
			n += callsPerClient
		}
	}
	return n
}

// freeLongAdviceCalls returns how many long calls can be made now: one for each client
// that serves them and has no backlog.
func (s *Shard) freeLongAdviceCalls(p *pass) int {
	clients := remoteFirst(p.adviceClients)[:min(len(p.adviceClients), longCallClients(len(p.adviceClients)))]
	return s.freeAdviceCalls(clients, p.now, p.adviceBacklog()) / callsPerClient
}

// idleAdviceClients returns how many clients have no call to make.
func (s *Shard) idleAdviceClients(clients []AdviceClient, now time.Time) int {
	n := 0
	for _, c := range clients {
		slot := s.adviceSlots[c.Instance]
		if slot == nil || !slot.pausedUntil.After(now) && !slot.busyUntil.After(now) {
			n++
		}
	}
	return n
}

// pickAdviceClient returns the client that is expected to answer a call of the given
// cost first, and its slot. The slot is nil if no client is available.
func (s *Shard) pickAdviceClient(clients []AdviceClient, now time.Time, cost, backlog time.Duration) (AdviceClient, *adviceSlot) {
	if cost > longCallThreshold {
		clients = remoteFirst(clients)[:longCallClients(len(clients))]
	}
	var best AdviceClient
	var bestSlot *adviceSlot
	var bestAt time.Time
	for _, c := range clients {
		slot := s.adviceSlots[c.Instance]
		if slot == nil {
			slot = &adviceSlot{}
			s.adviceSlots[c.Instance] = slot
		}
		if slot.pausedUntil.After(now) || slot.busyUntil.Sub(now) > backlog {
			continue
		}
		at := later(slot.busyUntil, now).Add(cost)
		if !c.SameRegion {
			at = at.Add(remoteCallDelay)
		}
		if bestSlot == nil || at.Before(bestAt) {
			best, bestSlot, bestAt = c, slot, at
		}
	}
	return best, bestSlot
}

// longCallClients returns how many of a number of clients serve long calls.
func longCallClients(clients int) int {
	return max(1, int(float64(clients)*longCallClientShare))
}

// remoteFirst returns the clients with those of other regions first. Long calls go to
// the first ones, so that clients in the owner's region stay free for short calls.
func remoteFirst(clients []AdviceClient) []AdviceClient {
	sorted := make([]AdviceClient, 0, len(clients))
	for _, c := range clients {
		if !c.SameRegion {
			sorted = append(sorted, c)
		}
	}
	for _, c := range clients {
		if c.SameRegion {
			sorted = append(sorted, c)
		}
	}
	return sorted
}

// adviceCall describes the expected course of a call for advice.
type adviceCall struct {
	// begin is when the client is expected to make the call.
	begin time.Time
	// stated is how long the call takes according to the policy of its route, expected how
	// long it is expected to take.
	stated, expected time.Duration
	// timeout is counted from the request, before begin.
	timeout time.Duration
}

// fetchAdvice makes a call for advice and records the answer.
func (s *Shard) fetchAdvice(client AdviceClient, slot *adviceSlot, waiting waitingStep, step string, names []lovagestand.WorkerName, requested []*worker, call adviceCall) {
	limited, cancel := context.WithTimeout(s.ctx, call.timeout)
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
	stats := s.stats(waiting.entry.route)
	if err != nil {
		if errors.Is(limited.Err(), context.DeadlineExceeded) {
			stats.callTimes.recordTimeout(call)
		}
		slot.pausedUntil = now.Add(adviceFailurePause)
		s.log.Warn().Err(err).Str("step", step).Str("by", string(client.Instance)).Msg("request for advice failed")
		s.wake()
		return
	}
	st.advised = true
	stats.callTimes.recordAnswer(call, now)
	stats.recordAdvice(len(names), len(advice.Tickets))
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
			st.setTicket(w, ticket{value: t.Value, until: now.Add(validity)})
		}
	}
	s.log.Info().Str("step", step).Str("by", string(client.Instance)).Int("asked", len(names)).Int("allowed", len(advice.Tickets)).Msg("advice received")
	s.wake()
}
