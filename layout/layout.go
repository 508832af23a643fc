package layout

import (
	"hash/fnv"
	"strconv"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

const (
	// FirstShard exists in every layout; its owner decides on the layout.
	FirstShard = "0"
	// workersPerShard is how many workers one owner carries: with 999 of them
	// it had half of its connections and of its processor time left, see
	// docs/CAPACITY.md.
	workersPerShard = 512
	// maxShards bounds how many owners a gateway talks to.
	maxShards = 64
)

// Layout is how many shards a cell has. It is decided once, since jobs and
// workers must not change their shard.
type Layout struct {
	// Shards is a power of two.
	Shards int `json:"shards"`
}

// Plan returns the layout for a number of workers and instances.
func Plan(workers, instances int) Layout {
	l := Layout{Shards: 1}
	for l.Shards*workersPerShard < workers && 2*l.Shards <= min(instances, maxShards) {
		l.Shards *= 2
	}
	return l
}

// Valid reports whether the layout is one that can be in force.
func (l Layout) Valid() bool {
	return l.Shards > 0 && l.Shards <= maxShards && l.Shards&(l.Shards-1) == 0
}

// ShardNames returns the names of all shards.
func (l Layout) ShardNames() []string {
	names := make([]string, l.Shards)
	for i := range names {
		names[i] = shardName(i)
	}
	return names
}

func shardName(i int) string { return strconv.Itoa(i) }

// ShardOfWorker returns the shard of a worker. The workers of one rack share it, so
// that a gang finds a whole rack in one shard.
func (l Layout) ShardOfWorker(w lovagestand.FleetWorker) string {
	if w.Rack == "" {
		return l.shardOfKey(string(w.Name))
	}
	return l.shardOfKey(string(w.Rack))
}

// ShardOfID returns the shard of jobs with an ID whose data is on no rack.
func (l Layout) ShardOfID(id job.ID) string { return l.shardOfKey(string(id)) }

// ShardOfJob returns the shard of a job: that of the rack that has its data, or that
// of its ID.
func (l Layout) ShardOfJob(j job.Job) string {
	for _, s := range j.Steps {
		if s.Affinity != "" {
			return l.shardOfKey(string(s.Affinity))
		}
	}
	return l.ShardOfID(j.ID)
}

// shardOfKey spreads keys by FNV-1a, whose low bits deal keys that differ in a last
// number out in turn.
func (l Layout) shardOfKey(key string) string {
	if l.Shards <= 1 {
		return FirstShard
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash never fails
	return shardName(int(h.Sum32()) & (l.Shards - 1))
}
