package lovagestand

import "strings"

// The names of the users' trade. Each is a type of its own so that one cannot
// be passed where another is meant.
type (
	// RegionName names a region, such as "malabar".
	RegionName string
	// FailureDomain names a failure domain inside a region.
	FailureDomain string
	// RackName names a rack inside a failure domain.
	RackName string
	// ShardName names a shard: the unit of ownership, see [ShardOf].
	ShardName string
	// InstanceID names one run of one scheduler process. A restarted process
	// has a new InstanceID, so what it once said binds nobody.
	InstanceID string
	// WorkerName names a worker.
	WorkerName string
	// RouteName names a row of the routes table.
	RouteName string
	// PoolName names a row of the pools table.
	PoolName string
	// TeamName names a team of callers that shares quotas.
	TeamName string
	// RequestKey is the caller's own key for a request. Sending the same key
	// again asks for the same request, not for a second one.
	RequestKey string
	// TaskID names one attempt to run a request on a worker.
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

// Epoch counts the owners a shard has had. A higher epoch always wins.
type Epoch uint64

// Class is the policy under which a task waits, is placed and may be stopped.
type Class string

// The classes of work.
const (
	// ClassUrgent goes first and may displace batch work.
	ClassUrgent Class = "urgent"
	// ClassService is long-lived, spread over failure domains, never displaced.
	ClassService Class = "service"
	// ClassBatch is packed tightly and is displaced first.
	ClassBatch Class = "batch"
	// ClassGang starts all of its tasks together or none of them.
	ClassGang Class = "gang"
)

// Classes lists all classes, first in line first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassService, ClassGang, ClassBatch}
}

// Valid reports whether c is one of the classes of work.
func (c Class) Valid() bool {
	return c == ClassUrgent || c == ClassService || c == ClassBatch || c == ClassGang
}
