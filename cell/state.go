package cell

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

// InstanceStatus is the status that an instance serves at /status.
type InstanceStatus struct {
	Instance lovagestand.Instance `json:"instance"`
	table.Status
	Uptime string `json:"uptime"`
	// NotReady is the reason why the instance does not serve callers; empty if
	// it does.
	NotReady string `json:"notReady,omitempty"`
	// InFlight is the number of requests without a final answer.
	InFlight int `json:"inFlight"`
	// Refusals contains the number of requests that each limit refused.
	Refusals []limit.RefusalCount `json:"refusals"`
	// QuotaCalls contains the number of store calls for quota shares.
	QuotaCalls quota.Counts `json:"quotaCalls"`
	// Shards contains the shards that the instance owns.
	Shards []placer.ShardStatus `json:"shards"`
}

// Report is the result of querying an instance for its status: Status if it
// answered, otherwise Err.
type Report struct {
	Instance lovagestand.Instance
	Status   InstanceStatus
	Err      error
}

// RevisionReport is the revision of the tables that an instance last reported to
// its peers, and the age of that report.
type RevisionReport struct {
	Revision uint64
	Age      time.Duration
}

// State is the state of a whole cell as known to one instance.
type State struct {
	// AskedAt is the address of the instance that built the state, At the time.
	AskedAt string    `json:"askedAt"`
	At      time.Time `json:"at"`
	// Revision is the newest revision of the tables that any instance has
	// reported to be in force.
	Revision  uint64     `json:"tablesRevision"`
	Regions   []Region   `json:"regions"`
	Pools     []Pool     `json:"pools"`
	Shards    []Shard    `json:"shards"`
	Instances []Instance `json:"instances"`
	// Unfit contains the workers that get no new tasks.
	Unfit []Worker `json:"unfitWorkers"`
	// Limited contains the limits that refused requests. The counts are the
	// sums over all instances that answered, each since its start.
	Limited []limit.RefusalCount `json:"limited"`
}

// Region is the summary of one region.
type Region struct {
	Region    lovagestand.RegionName `json:"region"`
	Instances int                    `json:"instances"`
	Unhealthy int                    `json:"unhealthyInstances"`
	Shards    int                    `json:"shards"`
	Workers   int                    `json:"workers"`
	Running   int                    `json:"running"`
	Waiting   int                    `json:"waiting"`
}

// Pool is the summary of one pool over all shards.
type Pool struct {
	Pool     lovagestand.PoolName  `json:"pool"`
	Capacity lovagestand.Resources `json:"capacity"`
	Free     lovagestand.Resources `json:"free"`
	Workers  int                   `json:"workers"`
	Running  int                   `json:"running"`
	Queues   []Queue               `json:"queues"`
}

// Queue is the summary of the queues for one class of a pool over all shards.
type Queue struct {
	Class   lovagestand.Class `json:"class"`
	Waiting int               `json:"waiting"`
	// LeastWaitMillis and LongestWaitMillis are the shortest and the longest
	// wait that a shard expects for a new task, in milliseconds.
	LeastWaitMillis   int64 `json:"leastWaitMillis"`
	LongestWaitMillis int64 `json:"longestWaitMillis"`
}

// Shard is the summary of one shard, from the digest that its owner sent. If no
// digest is known, Owner is empty.
type Shard struct {
	Shard lovagestand.ShardName `json:"shard"`
	Owner string                `json:"owner"`
	Epoch lovagestand.Epoch     `json:"epoch"`
	// AgeMillis is the age of the digest, in milliseconds.
	AgeMillis int64                    `json:"ageMillis"`
	Pools     []lovagestand.PoolDigest `json:"pools"`
}

// Instance is the summary of one instance.
type Instance struct {
	lovagestand.Instance
	// Revision is the revision of the tables that are in force on the instance.
	// AgeMillis is the age of that information in milliseconds.
	Revision  uint64 `json:"tablesRevision"`
	AgeMillis int64  `json:"ageMillis"`
	Uptime    string `json:"uptime"`
	InFlight  int    `json:"inFlight"`
	Owned
	// Trouble describes what is wrong with the instance; empty if it is healthy.
	Trouble string `json:"trouble,omitempty"`
}

// Owned contains the numbers of shards and claim partitions that an instance owns.
type Owned struct {
	// Shards is the number of shards of workers.
	Shards int `json:"shards"`
	// ClaimHomes is the number of claim partitions, which store the claims of
	// requests that run at most once.
	ClaimHomes int `json:"claimHomes"`
}

// Worker is a worker that gets no new tasks, with the reason.
type Worker struct {
	Worker lovagestand.WorkerName `json:"worker"`
	Shard  lovagestand.ShardName  `json:"shard"`
	Pool   lovagestand.PoolName   `json:"pool"`
	Reason string                 `json:"reason"`
}
