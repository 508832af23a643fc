package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// MaxStandbys is how many standbys a shard has where there are enough
// instances.
const MaxStandbys = 2

// standbyRank orders candidates for standby; less is better.
type standbyRank struct {
	id     lovagestand.InstanceID
	remote bool
	// sharesDomain says that the candidate shares a failure domain with one chosen.
	sharesDomain bool
	newMember    bool
	hash         uint64
}

func (r standbyRank) compare(s standbyRank) int {
	return cmp.Or(
		compareBool(r.remote, s.remote),
		compareBool(r.sharesDomain, s.sharesDomain),
		compareBool(r.newMember, s.newMember),
		cmp.Compare(r.hash, s.hash),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// chooseStandbys chooses the standbys of a shard: other failure domains first, then
// those it has already. Another region gives one only where its own has none.
// An earlier owner is none; must is one if not empty.
func (n *Node) chooseStandbys(now time.Time, e Entry, owner, required lovagestand.InstanceID) []lovagestand.InstanceID {
	var chosen []lovagestand.InstanceID
	domains := []lovagestand.FailureDomain{n.domain(owner)}
	if required != "" {
		chosen = append(chosen, required)
		domains = append(domains, n.domain(required))
	}
	for len(chosen) < MaxStandbys {
		excluded := append(slices.Clone(chosen), owner, e.Owner)
		best, ok := n.bestStandby(now, e, excluded, domains)
		if !ok || len(chosen) > 0 && n.instance(best).Region != e.Region {
			break
		}
		chosen = append(chosen, best)
		domains = append(domains, n.domain(best))
	}
	return chosen
}

func (n *Node) bestStandby(now time.Time, e Entry, excluded []lovagestand.InstanceID, domains []lovagestand.FailureDomain) (lovagestand.InstanceID, bool) {
	var best standbyRank
	for id := range n.peers {
		if !n.eligible(now, id) || slices.Contains(excluded, id) {
			continue
		}
		i := n.instance(id)
		r := standbyRank{
			id:           id,
			remote:       i.Region != e.Region,
			sharesDomain: slices.Contains(domains, i.FailureDomain),
			newMember:    !e.HasStandby(id) && e.Owner != id,
			hash:         xxhash.Sum64String(string(e.Shard) + string(id)),
		}
		if best.id == "" || r.compare(best) < 0 {
			best = r
		}
	}
	return best.id, best.id != ""
}

func (n *Node) domain(id lovagestand.InstanceID) lovagestand.FailureDomain {
	return n.instance(id).FailureDomain
}

// standbyChange returns the entry by which an owner follows itself with better
// standbys; false if there is no need.
func (n *Node) standbyChange(now time.Time, s *shardState) (Entry, bool) {
	if s.handover != nil && s.handover.state != handoverJoining || !n.mayAct(now) {
		return Entry{}, false
	}
	var required lovagestand.InstanceID
	if s.handover != nil {
		required = s.handover.successor
	} else if n.leaving && !s.released {
		return Entry{}, false
	}
	_, hasLease := n.lease(now, s)
	mustChange := s.sealedByStandby || s.released || s.endWritePending || !hasLease && now.Sub(s.learnedAt) > n.timing.Promise
	if !mustChange && required == "" && now.Sub(s.learnedAt) < 2*n.timing.Heartbeat {
		return Entry{}, false
	}
	standbys := n.chooseStandbys(now, s.entry, n.self.ID, required)
	if !mustChange && !n.worthReplacing(now, s, standbys) {
		return Entry{}, false
	}
	return s.entry.Next(n.self.ID, standbys, true), true
}

// worthReplacing reports whether standbys differ from those of the entry for a cause.
func (n *Node) worthReplacing(now time.Time, s *shardState, standbys []lovagestand.InstanceID) bool {
	for _, id := range standbys {
		if !s.entry.HasStandby(id) {
			return true
		}
	}
	if len(standbys) == len(s.entry.Standbys) {
		return false
	}
	for _, id := range s.entry.Standbys {
		if n.instance(id).Leaving {
			return true
		}
	}
	return now.Sub(s.learnedAt) >= n.timing.Replace
}
