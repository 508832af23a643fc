package placer

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// Explain describes for a person why a request waits or where it runs, and
// returns the shard that holds it. It returns false if no open shard holds the
// request.
func (p *Placer) Explain(key lovagestand.RequestKey) (lovagestand.ShardName, string, bool) {
	for _, s := range p.openShards() {
		if text, ok := s.explain(time.Now(), key); ok {
			return s.name, text, true
		}
	}
	return "", "", false
}

func (s *shard) explain(now time.Time, key lovagestand.RequestKey) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byKey[key]
	switch {
	case !ok:
		return "", false
	case r.final():
		return fmt.Sprintf("ended: %s %s", r.answer.Outcome, r.answer.Reason), true
	}
	text := ""
	for i, p := range r.parts {
		if i > 0 {
			text += "; "
		}
		if len(r.parts) > 1 {
			text += fmt.Sprintf("part %d ", i)
		}
		text += s.explainPart(now, p)
	}
	return text, true
}

func (s *shard) explainPart(now time.Time, p *part) string {
	switch p.state {
	case partStarting:
		return fmt.Sprintf("was sent to worker %s, which has not confirmed it", p.worker)
	case partStopping:
		return fmt.Sprintf("is being stopped on worker %s", p.worker)
	case partBlocked:
		return "waits to start again: " + p.reason
	case partEnded:
		return fmt.Sprintf("has ended (%s)", p.phase)
	case partQueued, partRunning:
	}
	return s.decider.Explain(now, p.task.ID)
}
