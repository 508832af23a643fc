package layout

import (
	"hash/fnv"
	"strconv"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

const (
	// FirstShard is the name of the shard that exists in every layout. Its owner
	// decides on the layout.
	FirstShard = "0"
	// workersPerShard is the number of workers planned for the owner of a shard. With
	// 999 workers an owner used half of its connections and of its processor time, see
	// docs/CAPACITY.md.
	workersPerShard = 512
	// maxShards limits the number of owners that a gateway sends calls to.
	maxShards = 64
)

// Layout is the number of shards of a cell. It is decided once, since workers must not
// move between shards. A job moves only from one owner to the next, see package shard.
type Layout struct {
	// Shards is a power of two.
	Shards int `json:"shards"`
}

// Plan returns the layout for a number of workers and instances: the fewest shards
// with at most workersPerShard workers each, as far as maxShards and the number of
// instances allow.
func Plan(workers, instances int) Layout {
	l := Layout{Shards: 1}
	for l.Shards*workersPerShard < workers && 2*l.Shards <= min(instances, maxShards) {
		l.Shards *= 2
	}
	return l
}

// Valid reports whether the number of shards is a power of two within the limit.
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

// ShardOfWorker returns the shard of a worker. All workers of a rack are in one shard,
// so that a gang can use a whole rack.
func (l Layout) ShardOfWorker(w lovagestand.FleetWorker) string {
	if w.Rack == "" {
		return l.shardOfKey(string(w.Name))
	}
	return l.shardOfKey(string(w.Rack))
}

// ShardOfID returns the shard of a job without rack affinity.
func (l Layout) ShardOfID(id job.ID) string { return l.shardOfKey(string(id)) }

// ShardOfJob returns the shard of a job: the shard of the first rack for which one of
// its steps has an affinity, or else the shard of its ID.
func (l Layout) ShardOfJob(j job.Job) string {
	for _, s := range j.Steps {
		if s.Affinity != "" {
			return l.shardOfKey(string(s.Affinity))
		}
	}
	return l.ShardOfID(j.ID)
}

// shardOfKey returns the shard of a key by its FNV-1a hash. The low bits of the hash
// assign keys that differ only in a trailing number to the shards in turn, which keeps
// the shards balanced.
func (l Layout) shardOfKey(key string) string {
	if l.Shards <= 1 {
		return FirstShard
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // Write of a hash never returns an error.
	return shardName(int(h.Sum32()) & (l.Shards - 1))
}
