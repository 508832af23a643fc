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

// rank orders candidates for standby; less is better.
type rank struct {
	id     lovagestand.InstanceID
	remote bool
	// together says that the candidate shares a failure domain with one chosen.
	together bool
	fresh    bool
	hash     uint64
}

func (r rank) compare(s rank) int {
	return cmp.Or(
		compareBool(r.remote, s.remote),
		compareBool(r.together, s.together),
		compareBool(r.fresh, s.fresh),
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

// standbys chooses the standbys of a shard: other failure domains first, then
// those it has already. Another region gives one only where its own has none.
// An earlier owner is none; must is one if not empty.
func (n *Node) standbys(now time.Time, e Entry, owner, must lovagestand.InstanceID) []lovagestand.InstanceID {
	var chosen []lovagestand.InstanceID
	domains := []lovagestand.FailureDomain{n.domain(owner)}
	if must != "" {
		chosen = append(chosen, must)
		domains = append(domains, n.domain(must))
	}
	for len(chosen) < MaxStandbys {
		taken := append(slices.Clone(chosen), owner, e.Owner)
		best, ok := n.bestStandby(now, e, taken, domains)
		if !ok || len(chosen) > 0 && n.instance(best).Region != e.Region {
			break
		}
		chosen = append(chosen, best)
		domains = append(domains, n.domain(best))
	}
	return chosen
}

func (n *Node) bestStandby(now time.Time, e Entry, taken []lovagestand.InstanceID, domains []lovagestand.FailureDomain) (lovagestand.InstanceID, bool) {
	var best rank
	for id := range n.peers {
		if !n.usable(now, id) || slices.Contains(taken, id) {
			continue
		}
		i := n.instance(id)
		r := rank{
			id:       id,
			remote:   i.Region != e.Region,
			together: slices.Contains(domains, i.FailureDomain),
			fresh:    !e.HasStandby(id) && e.Owner != id,
			hash:     xxhash.Sum64String(string(e.Shard) + string(id)),
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

// regroup returns the entry by which an owner follows itself with better
// standbys; false if there is no need.
func (n *Node) regroup(now time.Time, s *seat) (Entry, bool) {
	if s.handover != nil && s.handover.stage != handoverJoining || !n.confirmed(now) {
		return Entry{}, false
	}
	var must lovagestand.InstanceID
	if s.handover != nil {
		must = s.handover.to
	} else if n.leaving && !s.given {
		return Entry{}, false
	}
	_, holds := n.right(now, s)
	forced := s.refused || s.given || s.sent || !holds && now.Sub(s.learned) > n.timing.Promise
	if !forced && must == "" && now.Sub(s.learned) < 2*n.timing.Heartbeat {
		return Entry{}, false
	}
	standbys := n.standbys(now, s.entry, n.self.ID, must)
	if !forced && !n.better(now, s, standbys) {
		return Entry{}, false
	}
	return s.entry.Next(n.self.ID, standbys, true), true
}

// better reports whether standbys differ from those of the entry for a cause.
func (n *Node) better(now time.Time, s *seat, standbys []lovagestand.InstanceID) bool {
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
	return now.Sub(s.learned) >= n.timing.Replace
}
