package cell

import (
	"cmp"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/peer"
	"lovagestand.example/lovagestand/placer"
)

// Sources are what a [State] is made of.
type Sources struct {
	AskedAt string
	At      time.Time
	// Reports are what the live instances said.
	Reports []Report
	Heard   map[lovagestand.InstanceID]RevisionReport
	Digests []peer.DigestView
	// Homes counts the homes of claims by the instance that owns them.
	Homes map[lovagestand.InstanceID]int
	// Listed are the workers on the member list.
	Listed []lovagestand.Worker
}

// New returns the state of a cell.
func New(sources Sources) State {
	s := State{AskedAt: sources.AskedAt, At: sources.At, Unfit: []Worker{}, Limited: sumRefusals(sources.Reports)}
	s.Revision = newestRevision(sources)
	addresses := make(map[lovagestand.InstanceID]string)
	for _, r := range sources.Reports {
		addresses[r.Instance.ID] = r.Instance.Address
		s.Instances = append(s.Instances, summarizeInstance(r, sources.Heard[r.Instance.ID], s.Revision))
		s.Unfit = append(s.Unfit, unfitWorkers(r.Own.Shards)...)
	}
	owned := make(map[lovagestand.InstanceID]Owned)
	for _, v := range sources.Digests {
		if strings.HasPrefix(string(v.Digest.Shard), peer.ClaimPrefix) {
			continue
		}
		o := owned[v.Owner]
		o.Shards++
		owned[v.Owner] = o
		s.Shards = append(s.Shards, Shard{
			Shard:     v.Digest.Shard,
			Owner:     cmp.Or(addresses[v.Owner], string(v.Owner)),
			Epoch:     v.Epoch,
			AgeMillis: v.Age.Milliseconds(),
			Pools:     v.Digest.Pools,
		})
	}
	for n, i := range s.Instances {
		o := owned[i.ID]
		o.ClaimHomes = sources.Homes[i.ID]
		s.Instances[n].Owned = o
	}
	s.Shards = append(s.Shards, shardsWithoutOwner(sources.Listed, s.Shards)...)
	s.sort()
	s.Regions = summarizeRegions(s)
	s.Pools = summarizePools(s.Shards)
	return s
}

// shardsWithoutOwner returns the shards of listed workers that no owner has told of.
func shardsWithoutOwner(listed []lovagestand.Worker, known []Shard) []Shard {
	seen := make(map[lovagestand.ShardName]bool)
	for _, s := range known {
		seen[s.Shard] = s.Owner != ""
	}
	var missing []Shard
	for _, w := range listed {
		if _, ok := seen[w.Shard()]; !ok {
			seen[w.Shard()] = false
			missing = append(missing, Shard{Shard: w.Shard()})
		}
	}
	return missing
}

func newestRevision(sources Sources) uint64 {
	var revision uint64
	for _, h := range sources.Heard {
		revision = max(revision, h.Revision)
	}
	for _, r := range sources.Reports {
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

// summarizeInstance puts together what an instance said itself and what its peers
// heard of it.
func summarizeInstance(report Report, revisionReport RevisionReport, newest uint64) Instance {
	i := Instance{Instance: report.Instance, Revision: revisionReport.Revision, AgeMillis: revisionReport.Age.Milliseconds()}
	if report.Err != nil {
		i.Trouble = "does not answer: " + causeOf(report.Err)
		return i
	}
	i.Instance = report.Own.Instance
	i.Revision = uint64(report.Own.Revision)
	i.AgeMillis = 0
	i.Uptime = report.Own.Uptime
	i.InFlight = report.Own.InFlight
	switch {
	case report.Own.NotReady != "":
		i.Trouble = "not ready: " + report.Own.NotReady
	case i.Revision < newest:
		i.Trouble = fmt.Sprintf("has revision %d of the tables in force, not %d", i.Revision, newest)
	}
	return i
}

// causeOf returns the cause of a failed call without its URL.
func causeOf(err error) string {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err.Error()
	}
	return err.Error()
}

// unfitWorkers returns the workers of shards that get no new work.
func unfitWorkers(shards []placer.ShardStatus) []Worker {
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

func unfitReason(worker placer.WorkerStatus) string {
	var reasons []string
	if !worker.Reachable {
		reasons = append(reasons, "out of reach")
	}
	if worker.Leaving {
		reasons = append(reasons, "leaving")
	}
	if worker.Quarantined {
		reasons = append(reasons, "quarantined: it failed what others run")
	}
	if worker.Pool == "" {
		reasons = append(reasons, "in no pool")
	}
	return strings.Join(reasons, ", ")
}

func summarizeRegions(state State) []Region {
	byName := make(map[lovagestand.RegionName]*Region)
	region := func(name lovagestand.RegionName) *Region {
		if byName[name] == nil {
			byName[name] = &Region{Region: name}
		}
		return byName[name]
	}
	for _, i := range state.Instances {
		r := region(i.Region)
		r.Instances++
		if i.Trouble != "" {
			r.Unhealthy++
		}
	}
	for _, d := range state.Shards {
		region(d.Shard.Region()).add(d)
	}
	var regions []Region
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		regions = append(regions, *byName[name])
	}
	return regions
}

func (r *Region) add(shard Shard) {
	r.Shards++
	for _, p := range shard.Pools {
		r.Workers += p.Workers
		r.Running += p.Running
		for _, n := range p.Waiting {
			r.Waiting += n
		}
	}
}

func summarizePools(shards []Shard) []Pool {
	byName := make(map[lovagestand.PoolName][]lovagestand.PoolDigest)
	for _, s := range shards {
		for _, p := range s.Pools {
			byName[p.Pool] = append(byName[p.Pool], p)
		}
	}
	var pools []Pool
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		pools = append(pools, summarizePool(name, byName[name]))
	}
	return pools
}

// summarizePool adds up the digests of one pool.
func summarizePool(name lovagestand.PoolName, digests []lovagestand.PoolDigest) Pool {
	p := Pool{Pool: name}
	for _, d := range digests {
		p.Capacity = p.Capacity.Add(d.Capacity)
		p.Free = p.Free.Add(d.Free)
		p.Workers += d.Workers
		p.Running += d.Running
	}
	for _, class := range lovagestand.Classes() {
		p.Queues = append(p.Queues, summarizeQueue(class, digests))
	}
	return p
}

func summarizeQueue(class lovagestand.Class, digests []lovagestand.PoolDigest) Queue {
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

// sumRefusals adds up what each limit of each route refused at all instances; the
// team is the one refused last.
func sumRefusals(reports []Report) []limit.RefusalCount {
	sums := []limit.RefusalCount{}
	for _, r := range reports {
		for _, f := range r.Own.Refusals {
			n := slices.IndexFunc(sums, func(s limit.RefusalCount) bool { return s.Kind == f.Kind && s.Route == f.Route })
			if n < 0 {
				sums = append(sums, f)
				continue
			}
			count := sums[n].Count + f.Count
			if f.LastAt.After(sums[n].LastAt) {
				sums[n] = f
			}
			sums[n].Count = count
		}
	}
	slices.SortFunc(sums, func(a, b limit.RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Kind, b.Kind))
	})
	return sums
}
