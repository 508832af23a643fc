package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/peer"
	"lovagestand.example/lovagestand/placer"
)

// Sources are what a [State] is made of.
type Sources struct {
	AskedAt string
	At      time.Time
	// Reports are what the live instances said.
	Reports []Report
	Heard   map[lovagestand.InstanceID]Heard
	Digests []peer.DigestView
}

// New returns the state of a cell.
func New(from Sources) State {
	s := State{AskedAt: from.AskedAt, At: from.At, Unfit: []Worker{}}
	s.Revision = newest(from)
	addresses := make(map[lovagestand.InstanceID]string)
	for _, r := range from.Reports {
		addresses[r.Instance.ID] = r.Instance.Address
		s.Instances = append(s.Instances, instanceOf(r, from.Heard[r.Instance.ID], s.Revision))
		s.Unfit = append(s.Unfit, unfit(r.Own.Shards)...)
	}
	for _, v := range from.Digests {
		s.Shards = append(s.Shards, Shard{
			Shard:     v.Digest.Shard,
			Owner:     addresses[v.Owner],
			Epoch:     v.Epoch,
			AgeMillis: v.Age.Milliseconds(),
			Pools:     v.Digest.Pools,
		})
	}
	s.sort()
	s.Regions = regionsOf(s)
	s.Pools = poolsOf(s.Shards)
	return s
}

func newest(from Sources) uint64 {
	var revision uint64
	for _, h := range from.Heard {
		revision = max(revision, h.Revision)
	}
	for _, r := range from.Reports {
		revision = max(revision, uint64(r.Own.Revision))
	}
	return revision
}

func (s State) sort() {
	slices.SortFunc(s.Instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Address, b.Address))
	})
	slices.SortFunc(s.Unfit, func(a, b Worker) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(s.Shards, func(a, b Shard) int { return cmp.Compare(a.Shard, b.Shard) })
}

// instanceOf puts together what an instance said itself and what its peers
// heard of it.
func instanceOf(r Report, heard Heard, newest uint64) Instance {
	i := Instance{Instance: r.Instance, Revision: heard.Revision, AgeMillis: heard.Age.Milliseconds()}
	if r.Err != nil {
		i.Trouble = "does not answer: " + r.Err.Error()
		return i
	}
	i.Instance = r.Own.Instance
	i.Revision = uint64(r.Own.Revision)
	i.AgeMillis = 0
	i.Uptime = r.Own.Uptime
	i.InFlight = r.Own.InFlight
	i.Shards = len(r.Own.Shards)
	switch {
	case r.Own.NotReady != "":
		i.Trouble = "not ready: " + r.Own.NotReady
	case i.Revision < newest:
		i.Trouble = fmt.Sprintf("has revision %d of the tables in force, not %d", i.Revision, newest)
	}
	return i
}

// unfit returns the workers of shards that get no new work.
func unfit(shards []placer.ShardStatus) []Worker {
	var workers []Worker
	for _, s := range shards {
		for _, w := range s.Workers {
			if reason := unfitReason(w); reason != "" {
				workers = append(workers, Worker{Worker: w.Worker, Shard: s.Shard, Pool: w.Pool, Reason: reason})
			}
		}
	}
	return workers
}

func unfitReason(w placer.WorkerStatus) string {
	var reasons []string
	if !w.Reachable {
		reasons = append(reasons, "out of reach")
	}
	if w.Leaving {
		reasons = append(reasons, "leaving")
	}
	if w.Pool == "" {
		reasons = append(reasons, "in no pool")
	}
	return strings.Join(reasons, ", ")
}

func regionsOf(s State) []Region {
	byName := make(map[lovagestand.RegionName]*Region)
	at := func(name lovagestand.RegionName) *Region {
		if byName[name] == nil {
			byName[name] = &Region{Region: name}
		}
		return byName[name]
	}
	for _, i := range s.Instances {
		r := at(i.Region)
		r.Instances++
		if i.Trouble != "" {
			r.Unhealthy++
		}
	}
	for _, d := range s.Shards {
		at(RegionOf(d.Shard)).add(d)
	}
	var regions []Region
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		regions = append(regions, *byName[name])
	}
	return regions
}

func (r *Region) add(s Shard) {
	r.Shards++
	for _, p := range s.Pools {
		r.Workers += p.Workers
		r.Running += p.Running
		for _, n := range p.Waiting {
			r.Waiting += n
		}
	}
}

// RegionOf returns the region of a shard.
func RegionOf(shard lovagestand.ShardName) lovagestand.RegionName {
	region, _, _ := strings.Cut(string(shard), "/")
	return lovagestand.RegionName(region)
}

func poolsOf(shards []Shard) []Pool {
	byName := make(map[lovagestand.PoolName][]lovagestand.PoolDigest)
	for _, s := range shards {
		for _, p := range s.Pools {
			byName[p.Pool] = append(byName[p.Pool], p)
		}
	}
	var pools []Pool
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		pools = append(pools, poolOf(name, byName[name]))
	}
	return pools
}

// poolOf adds up the digests of one pool.
func poolOf(name lovagestand.PoolName, digests []lovagestand.PoolDigest) Pool {
	p := Pool{Pool: name}
	for _, d := range digests {
		p.Capacity = p.Capacity.Add(d.Capacity)
		p.Free = p.Free.Add(d.Free)
		p.Workers += d.Workers
		p.Running += d.Running
	}
	for _, class := range lovagestand.Classes() {
		p.Queues = append(p.Queues, queueOf(class, digests))
	}
	return p
}

func queueOf(class lovagestand.Class, digests []lovagestand.PoolDigest) Queue {
	q := Queue{Class: class}
	for i, d := range digests {
		q.Waiting += d.Waiting[class]
		wait := d.Wait[class].Milliseconds()
		q.LongestWaitMillis = max(q.LongestWaitMillis, wait)
		if i == 0 || wait < q.LeastWaitMillis {
			q.LeastWaitMillis = wait
		}
	}
	return q
}
