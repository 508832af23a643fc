// Package split divides shards between instances by hashing alone. It is the
// baseline that ownership is measured against: it needs no messages, and for
// as long as two instances see different member lists both may own a shard.
package split

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// validity is how long a right lasts unless renewed; it is renewed on every
// question.
const validity = 5 * time.Second

// Split gives each shard to the live instance of its region with the highest
// hash.
type Split struct {
	self    lovagestand.InstanceID
	members func() (lovagestand.Members, bool)
	changed func() <-chan struct{}
}

// New returns a split as the instance self sees it. members returns the
// member list and changed a channel that is closed when it next changes.
func New(self lovagestand.InstanceID, members func() (lovagestand.Members, bool), changed func() <-chan struct{}) *Split {
	return &Split{self: self, members: members, changed: changed}
}

var _ lovagestand.Ownership = (*Split)(nil)

// Owner implements [lovagestand.Ownership].
func (s *Split) Owner(shard lovagestand.ShardName) (lovagestand.Instance, bool) {
	members, ok := s.members()
	if !ok {
		return lovagestand.Instance{}, false
	}
	return owner(shard, members)
}

// Right implements [lovagestand.Ownership].
func (s *Split) Right(shard lovagestand.ShardName) (lovagestand.Right, bool) {
	o, ok := s.Owner(shard)
	if !ok || o.ID != s.self {
		return lovagestand.Right{}, false
	}
	return lovagestand.Right{Shard: shard, Epoch: 1, Until: time.Now().Add(validity)}, true
}

// Owned implements [lovagestand.Ownership].
func (s *Split) Owned() []lovagestand.ShardName {
	members, ok := s.members()
	if !ok {
		return nil
	}
	seen := make(map[lovagestand.ShardName]bool)
	var owned []lovagestand.ShardName
	for _, w := range members.Workers {
		n := w.Shard()
		if seen[n] {
			continue
		}
		seen[n] = true
		if o, ok := owner(n, members); ok && o.ID == s.self {
			owned = append(owned, n)
		}
	}
	sort.Slice(owned, func(i, j int) bool { return owned[i] < owned[j] })
	return owned
}

// Changed implements [lovagestand.Ownership].
func (s *Split) Changed() <-chan struct{} {
	return s.changed()
}

func owner(shard lovagestand.ShardName, members lovagestand.Members) (lovagestand.Instance, bool) {
	var best lovagestand.Instance
	var highest uint64
	found := false
	for _, i := range members.Instances {
		if i.Leaving || !inRegion(shard, i.Region) {
			continue
		}
		weight := xxhash.Sum64String(string(shard) + "\x00" + string(i.ID))
		if !found || weight > highest {
			best, highest, found = i, weight, true
		}
	}
	return best, found
}

func inRegion(shard lovagestand.ShardName, region lovagestand.RegionName) bool {
	prefix := string(region) + "/"
	return len(shard) > len(prefix) && string(shard[:len(prefix)]) == prefix
}
