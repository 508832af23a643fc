package cell

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

// InstanceStatus is what an instance says of itself at /status.
type InstanceStatus struct {
	Instance lovagestand.Instance `json:"instance"`
	table.Status
	Uptime string `json:"uptime"`
	// NotReady is empty if the instance serves callers, else why not.
	NotReady string `json:"notReady,omitempty"`
	// InFlight counts the requests without a final answer.
	InFlight int `json:"inFlight"`
	// Refusals count the requests that limits kept out.
	Refusals []limit.RefusalCount `json:"refusals"`
	// QuotaCalls count the store calls for quota shares.
	QuotaCalls quota.Counts `json:"quotaCalls"`
	// Shards are those the instance owns.
	Shards []placer.ShardStatus `json:"shards"`
}

// Report is what an instance said when it was asked, or why it said nothing.
type Report struct {
	Instance lovagestand.Instance
	Own      InstanceStatus
	Err      error
}

// RevisionReport is the tables' revision that an instance last told its peers.
type RevisionReport struct {
	Revision uint64
	Age      time.Duration
}

// State is a whole cell as one instance sees it.
type State struct {
	// AskedAt is the address of the instance that summed the cell up, at At.
	AskedAt string    `json:"askedAt"`
	At      time.Time `json:"at"`
	// Revision is the newest revision of the tables in force anywhere.
	Revision  uint64     `json:"tablesRevision"`
	Regions   []Region   `json:"regions"`
	Pools     []Pool     `json:"pools"`
	Shards    []Shard    `json:"shards"`
	Instances []Instance `json:"instances"`
	// Unfit are the workers that get no new work.
	Unfit []Worker `json:"unfitWorkers"`
	// Limited are the limits that kept requests out, over all instances that
	// answered, since each began.
	Limited []limit.RefusalCount `json:"limited"`
}

// Region sums up one region.
type Region struct {
	Region    lovagestand.RegionName `json:"region"`
	Instances int                    `json:"instances"`
	Unhealthy int                    `json:"unhealthyInstances"`
	Shards    int                    `json:"shards"`
	Workers   int                    `json:"workers"`
	Running   int                    `json:"running"`
	Waiting   int                    `json:"waiting"`
}

// Pool sums up one pool over all shards.
type Pool struct {
	Pool     lovagestand.PoolName  `json:"pool"`
	Capacity lovagestand.Resources `json:"capacity"`
	Free     lovagestand.Resources `json:"free"`
	Workers  int                   `json:"workers"`
	Running  int                   `json:"running"`
	Queues   []Queue               `json:"queues"`
}

// Queue is one class's queue of a pool.
type Queue struct {
	Class   lovagestand.Class `json:"class"`
	Waiting int               `json:"waiting"`
	// LeastWaitMillis and LongestWaitMillis are the least and the longest wait that any shard expects of
	// a new task, in milliseconds.
	LeastWaitMillis   int64 `json:"leastWaitMillis"`
	LongestWaitMillis int64 `json:"longestWaitMillis"`
}

// Shard is what is known of one shard.
type Shard struct {
	Shard lovagestand.ShardName `json:"shard"`
	Owner string                `json:"owner"`
	Epoch lovagestand.Epoch     `json:"epoch"`
	// AgeMillis is the age of the digest, in milliseconds.
	AgeMillis int64                    `json:"ageMillis"`
	Pools     []lovagestand.PoolDigest `json:"pools"`
}

// Instance is what is known of one instance.
type Instance struct {
	lovagestand.Instance
	// Revision is that of the tables in force there; AgeMillis tells how long
	// ago it was said.
	Revision  uint64 `json:"tablesRevision"`
	AgeMillis int64  `json:"ageMillis"`
	Uptime    string `json:"uptime"`
	InFlight  int    `json:"inFlight"`
	Owned
	// Trouble is empty for a healthy instance.
	Trouble string `json:"trouble,omitempty"`
}

// Owned counts what an instance owns.
type Owned struct {
	// Shards are shards of workers.
	Shards int `json:"shards"`
	// ClaimHomes keep the claims of requests that run at most once.
	ClaimHomes int `json:"claimHomes"`
}

// Worker is a worker that gets no new work.
type Worker struct {
	Worker lovagestand.WorkerName `json:"worker"`
	Shard  lovagestand.ShardName  `json:"shard"`
	Pool   lovagestand.PoolName   `json:"pool"`
	Reason string                 `json:"reason"`
}
