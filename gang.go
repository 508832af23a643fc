package lovagestand

import (
	"fmt"
	"slices"
	"time"
)

// GangDecider is a [Decider] that can keep room for a part of a gang, so that
// a gang can span several shards. Whoever starts such a gang asks the owners
// for holds one after the other in the order of [HoldOrder], and commits when
// all are held. A hold is refused at once where there is no room, never
// queued, and ends by itself, so that gangs cannot block each other for ever.
type GangDecider interface {
	Decider
	// Hold keeps room for all tasks of a hold or fails with a [HoldError].
	// Holding for a gang again replaces its hold. After a refusal room is
	// made for one gang at a time, so that it finds room when it asks again.
	Hold(now time.Time, hold Hold) error
	// Commit starts tasks in the room held for a gang and appends the
	// decisions. It fails with a [HoldError], starting none, where nothing is
	// held any more or the tasks are not those it was held for.
	Commit(now time.Time, gang string, tasks []Task, decisions []Decision) ([]Decision, error)
	// Release gives back what is held for a gang, if anything is.
	Release(gang string)
}

// Hold asks for room for a part of a gang.
type Hold struct {
	Gang string   `json:"gang"`
	Pool PoolName `json:"pool"`
	Team TeamName `json:"team"`
	// Resources is what each of the Tasks takes.
	Resources Resources `json:"resources"`
	Tasks     int       `json:"tasks"`
	// Until is when the room is given back unless committed.
	Until time.Time `json:"until"`
}

// HoldOrder returns shards in the one order in which all gangs hold them.
func HoldOrder(shards []ShardName) []ShardName {
	ordered := slices.Clone(shards)
	slices.Sort(ordered)
	return slices.Compact(ordered)
}

// HoldError says that room for a gang is not held.
type HoldError struct {
	Gang   string
	Reason string
}

// Error implements error.
func (e *HoldError) Error() string {
	return fmt.Sprintf("gang %q: %s", e.Gang, e.Reason)
}
