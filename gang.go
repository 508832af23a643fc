package lovagestand

import (
	"fmt"
	"slices"
	"time"
)

// GangDecider is a [Decider] that can reserve room for a part of a gang, so that
// a gang can span several shards. To start such a gang, an instance requests a
// hold from the owner of each shard, one after the other in the order of
// [HoldOrder], and commits once it has all holds. A hold for which there is no
// room is refused at once and never queued, and each hold expires, so that gangs
// cannot block each other for ever.
type GangDecider interface {
	Decider
	// Hold reserves room for all tasks of a hold or fails with a [HoldError]. A
	// second hold for the same gang replaces the first one. After a refusal the
	// decider makes room for one gang at a time, so that this gang finds room
	// when it retries.
	Hold(now time.Time, hold Hold) error
	// Commit starts tasks in the room that is held for a gang and appends the
	// decisions. It starts none of them and fails with a [HoldError] if the
	// gang has no hold any more or if the hold is for other tasks.
	Commit(now time.Time, gang string, tasks []Task, decisions []Decision) ([]Decision, error)
	// Release releases the hold of a gang, if it has one.
	Release(gang string)
}

// Hold is a reservation of room for a part of a gang.
type Hold struct {
	Gang string   `json:"gang"`
	Pool PoolName `json:"pool"`
	Team TeamName `json:"team"`
	// Resources is what each of the Tasks needs.
	Resources Resources `json:"resources"`
	Tasks     int       `json:"tasks"`
	// Until is when the hold expires unless it is committed before.
	Until time.Time `json:"until"`
}

// HoldOrder returns shards, without duplicates, in the order in which every gang
// must hold them. Because all gangs use the same order, they cannot deadlock.
func HoldOrder(shards []ShardName) []ShardName {
	ordered := slices.Clone(shards)
	slices.Sort(ordered)
	return slices.Compact(ordered)
}

// HoldError is returned when there is no hold for a gang.
type HoldError struct {
	Gang   string
	Reason string
}

// Error implements error.
func (e *HoldError) Error() string {
	return fmt.Sprintf("gang %q: %s", e.Gang, e.Reason)
}
