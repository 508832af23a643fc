package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// MaxStandbys is the number of standbys of a shard if there are enough instances.
const MaxStandbys = 2

// standbyRank orders the candidates for standby. The lowest rank is the best.
type standbyRank struct {
	id     lovagestand.InstanceID
	remote bool
	// sharesDomain indicates that the candidate is in the failure domain of the
	// owner or of a standby already chosen.
	sharesDomain bool
	// newMember indicates that the candidate is neither owner nor standby in the
	// current entry.
	newMember bool
	hash      uint64
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

// chooseStandbys chooses the standbys of a shard for the given owner. It prefers
// instances of the shard's region, then of other failure domains, then the present
// standbys. It chooses an instance of another region only as the first standby, and
// never the owner in e. Unless required is empty, it is one of the standbys.
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

// standbyChange returns the entry with which an owner succeeds itself to change its
// standbys, and false if there is no need. A handover in the state joining requires
// its successor as a standby.
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
	mustChange := s.sealedByStandby || s.released || s.endWritePending || !hasLease && now.Sub(s.learnedAt) > n.timing.GrantDuration
	if !mustChange && required == "" && now.Sub(s.learnedAt) < 2*n.timing.Heartbeat {
		return Entry{}, false
	}
	standbys := n.chooseStandbys(now, s.entry, n.self.ID, required)
	if !mustChange && !n.worthReplacing(now, s, standbys) {
		return Entry{}, false
	}
	return s.entry.Next(n.self.ID, standbys, true), true
}

// worthReplacing reports whether a change to the given standbys is worth a new epoch. It
// is if one of them is new. If the change only removes standbys, it is if a present
// standby is leaving or the epoch has lasted for Timing.ReplaceAfter.
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
	return now.Sub(s.learnedAt) >= n.timing.ReplaceAfter
}
