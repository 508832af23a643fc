package shard

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// holdLoop renews the lease of a worker and records what the worker runs, until ctx
// ends.
func (s *Shard) holdLoop(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		s.mu.Lock()
		request, unacked := s.holdRequest(w)
		target := w.target()
		s.mu.Unlock()
		if unacked {
			if !s.awaitAcknowledgement(ctx, w) {
				continue
			}
			// Another incarnation of the worker may have answered in the meantime.
			s.mu.Lock()
			request, _ = s.holdRequest(w)
			target = w.target()
			s.mu.Unlock()
		}
		begun := time.Now()
		limited, cancel := context.WithTimeout(ctx, request.Wait+holdTimeout)
		holding, err := s.deps.Fleet.Hold(limited, target, request)
		timedOut := limited.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		answered := err == nil && s.recordHolding(w, target.Address, begun, holding)
		now := time.Now()
		paced, delay := w.fewConnections(now), w.connections.holdDelay(now.Sub(w.addedAt))
		if err != nil {
			s.holdFailed(w, target, err, timedOut)
		}
		s.mu.Unlock()
		if !answered || paced {
			pause.For(ctx, delay)
		}
	}
}

// queryWorker reads at once what a worker holds, without renewing its lease. It is
// called after a confirmed stop order, which may follow a start whose outcome is unknown.
func (s *Shard) queryWorker(w *worker) {
	s.mu.Lock()
	request := lovagestand.HoldRequest{Epoch: s.term.Epoch}
	target := w.target()
	s.mu.Unlock()
	begun := time.Now()
	limited, cancel := context.WithTimeout(s.ctx, holdTimeout)
	holding, err := s.deps.Fleet.Hold(limited, target, request)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.ctx.Err() == nil {
		s.recordHolding(w, target.Address, begun, holding)
	}
}

// holdRequest returns the next hold request, and whether the worker has listed ends
// that may not be acknowledged yet because they are not stored. After a failed hold
// the request only reads: another incarnation of the worker may receive it, whose ends
// have the same numbers and whose clock differs.
func (s *Shard) holdRequest(w *worker) (lovagestand.HoldRequest, bool) {
	now := time.Now()
	request := lovagestand.HoldRequest{Epoch: s.term.Epoch}
	if !w.contacted || w.unresponsive {
		return request, false
	}
	request.Born, request.Seen = w.born, w.ackedEnds
	unacked := w.ackedEnds < w.seenEnds
	if now.Sub(w.lastAnswer) < extendFor {
		request.Wait = holdWait
		if s.deps.Assured() {
			request.Until = s.extendLease(w, now)
		}
	}
	if unacked || w.fewConnections(now) {
		request.Wait = 0
	}
	return request, unacked
}

// fewConnections reports whether holds do not wait at the worker, because orders may need their
// connection.
func (w *worker) fewConnections(now time.Time) bool {
	return w.connections.scarce() || now.Before(w.fewConnectionsUntil)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitAcknowledgement waits until the ends that the worker has listed can be
// acknowledged. It returns true if acknowledgeWait passes first, so that a hold should
// be sent without the acknowledgement.
func (s *Shard) awaitAcknowledgement(ctx context.Context, w *worker) bool {
	timer := time.NewTimer(acknowledgeWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.acknowledged:
		return false
	case <-timer.C:
		return true
	}
}

// acknowledge marks the ends that are now stored, so that the next holds allow the
// workers to drop them.
func (s *Shard) acknowledge() {
	for w := range s.unacknowledged {
		s.acknowledgeWorker(w)
		if len(w.pendingAcks) == 0 {
			delete(s.unacknowledged, w)
		}
	}
}

// acknowledgeWorker marks the ends of one worker that are now stored.
func (s *Shard) acknowledgeWorker(w *worker) {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].queuePosition <= s.writtenPosition {
		w.ackedEnds = w.pendingAcks[n].number
		n++
	}
	if n == 0 {
		return
	}
	w.pendingAcks = slices.Delete(w.pendingAcks, 0, n)
	if !w.info.Ready {
		s.requestRosterWrite()
	}
	select {
	case w.acknowledged <- struct{}{}:
	default:
	}
}

// holdFailed handles a failed hold that was sent to target. A refusal by another
// process at that address shows that the incarnation that last answered is gone only if
// target may be its entry; the list may have changed since the hold was sent. If the hold
// did not time out, the worker was alive until just before.
func (s *Shard) holdFailed(w *worker, target lovagestand.FleetWorker, err error, timedOut bool) {
	targetMatches := w.mayBeIncarnation(target.Born) && s.wasAt(w, target.Address)
	var refused *lovagestand.OrderRefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case lovagestand.RefusalFenced:
			s.endTerm("worker " + string(w.info.Name) + " has seen a higher epoch")
			return
		case lovagestand.RefusalRestarted:
			if targetMatches {
				w.loseContact(time.Now(), timedOut)
				// The entry of the incarnation that follows counts from now on, for its address.
				w.unresponsive = true
				if !s.resolved {
					s.replacedWorkers[w.info.Name] = true
				}
				s.requeueAll(w, lossReplaced)
				return
			}
		}
	}
	now := time.Now()
	wasUnresponsive := w.unresponsive
	w.loseContact(now, timedOut)
	w.unresponsive = true
	if !wasUnresponsive {
		if !timedOut && refused == nil {
			s.suspectRuns(w)
		}
		s.log.Warn().Str("worker", string(w.info.Name)).Err(err).Dur("sinceAnswer", now.Sub(w.lastAnswer)).Int("tasks", len(w.placements)).Msg("worker does not answer")
	}
	_, unresolved := s.unresolved[w.info.Name]
	if now.After(w.leaseEnd) && (len(w.placements)+len(w.strays) > 0 || unresolved && w.contacted) {
		s.requeueAll(w, lossLeaseExpired)
	}
	// After that time no lease given by a former owner can be in force.
	if !w.contacted && now.Sub(s.loadedAt) > s.longestLease()+s.limits.Overlap {
		s.resolveWorker(w.info.Name)
	}
}

// markGone records that a worker has left for good, so that it can be removed at once.
func (s *Shard) markGone(w *worker, cause lossCause) {
	s.requeueAll(w, cause)
	w.leaseEnd, w.lastAnswer, w.lastListed = time.Time{}, time.Time{}, time.Time{}
}

// requeueAll treats all runs on a worker as ended without a result: their tasks wait
// again.
func (s *Shard) requeueAll(w *worker, cause lossCause) {
	if len(w.placements)+len(w.strays) > 0 {
		s.log.Warn().Str("worker", string(w.info.Name)).Int("tasks", len(w.placements)).Str("reason", string(cause)).Msg("tasks lost")
	}
	lost := slices.Collect(maps.Values(w.placements))
	for _, p := range lost {
		s.logLostRun(p, cause)
		s.requeue(p)
	}
	s.recordCrash(w, lost, cause)
	clear(w.strays)
	s.resolveWorker(w.info.Name)
	s.wake()
}

// workerRestarted records that a worker has restarted under the same name. Placements
// are kept until the new incarnation lists its runs, because a start may have reached
// either incarnation.
func (s *Shard) workerRestarted(w *worker, born int64) {
	s.log.Warn().Str("worker", string(w.info.Name)).Int64("born", born).Msg("worker restarted under the same name")
	w.loseContact(time.Now(), false)
	w.replacedIncarnations[w.born] = true
	w.born = born
	w.lastHeartbeat, w.heartbeatAfter = time.Time{}, time.Time{}
	w.contacted = false
	// The new incarnation has seen no epoch. No task is placed there until a write has shown
	// that no other owner had followed when it was contacted.
	w.inRosterWrite, w.enrolled = false, false
	s.requestRosterWrite()
	w.ackedEnds, w.seenEnds, w.pendingAcks = 0, 0, nil
	w.health = health{}
	w.connections = connectionUse{formerBorn: born}
}
