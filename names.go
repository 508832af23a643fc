package lovagestand

import "strings"

// The names of the things that users of the scheduler deal with. Each has a type
// of its own, so that one cannot be passed where another is meant.
type (
	// RegionName names a region, such as "malabar".
	RegionName string
	// FailureDomain names a failure domain inside a region.
	FailureDomain string
	// RackName names a rack inside a failure domain.
	RackName string
	// ShardName names a shard, which is the unit of ownership. See [ShardOf].
	ShardName string
	// InstanceID identifies one run of one scheduler process. A restarted
	// process has a new InstanceID, so messages that it sent before the
	// restart no longer apply.
	InstanceID string
	// WorkerName names a worker.
	WorkerName string
	// RouteName names a row of the routes table.
	RouteName string
	// PoolName names a row of the pools table.
	PoolName string
	// TeamName names a team of callers that share quotas.
	TeamName string
	// RequestKey is the caller's own key for a request. A caller that sends the
	// same key again refers to the same request and does not create a second
	// one.
	RequestKey string
	// TaskID identifies one attempt to run a request on a worker.
	TaskID string
)

// ShardOf returns the shard that holds the workers of a rack.
func ShardOf(region RegionName, rack RackName) ShardName {
	return ShardName(string(region) + "/" + string(rack))
}

// Region returns the region whose workers a shard holds.
func (s ShardName) Region() RegionName {
	region, _, _ := strings.Cut(string(s), "/")
	return RegionName(region)
}

// Epoch numbers the successive owners of a shard. A higher epoch always
// supersedes a lower one.
type Epoch uint64

// Class determines how a task waits, how it is placed and whether it may be
// preempted.
type Class string

// The classes of work.
const (
	// ClassUrgent is served first and may preempt batch tasks.
	ClassUrgent Class = "urgent"
	// ClassService is long-lived, spread over failure domains and never
	// preempted.
	ClassService Class = "service"
	// ClassBatch is packed tightly and preempted first.
	ClassBatch Class = "batch"
	// ClassGang starts either all of its tasks together or none of them.
	ClassGang Class = "gang"
)

// Classes returns all classes in the order in which they are served.
func Classes() []Class {
	return []Class{ClassUrgent, ClassService, ClassGang, ClassBatch}
}

// Valid reports whether c is one of the classes of work.
func (c Class) Valid() bool {
	return c == ClassUrgent || c == ClassService || c == ClassBatch || c == ClassGang
}
