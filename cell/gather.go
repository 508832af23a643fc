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

// Sources contains the data from which [New] builds a [State].
type Sources struct {
	// AskedAt is the address of the instance that builds the state, and At is when
	// it does so.
	AskedAt string
	At      time.Time
	// Reports contains one report for each known instance, whether or not the
	// instance answered.
	Reports []Report
	// RevisionReports contains the tables' revisions that the instances last
	// reported to their peers.
	RevisionReports map[lovagestand.InstanceID]RevisionReport
	Digests         []peer.DigestView
	// ClaimPartitions is the number of claim partitions that each instance owns.
	ClaimPartitions map[lovagestand.InstanceID]int
	// ListedWorkers contains the workers on the member list.
	ListedWorkers []lovagestand.Worker
}

// New builds the state of a cell. The digests of claim partitions are skipped,
// since they cover no workers.
func New(sources Sources) State {
	s := State{AskedAt: sources.AskedAt, At: sources.At, Unfit: []Worker{}, Limited: sumRefusals(sources.Reports)}
	s.Revision = newestRevision(sources)
	addresses := make(map[lovagestand.InstanceID]string)
	for _, r := range sources.Reports {
		addresses[r.Instance.ID] = r.Instance.Address
		s.Instances = append(s.Instances, summarizeInstance(r, sources.RevisionReports[r.Instance.ID], s.Revision))
		s.Unfit = append(s.Unfit, unfitWorkers(r.Status.Shards)...)
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
		o.ClaimHomes = sources.ClaimPartitions[i.ID]
		s.Instances[n].Owned = o
	}
	s.Shards = append(s.Shards, shardsWithoutOwner(sources.ListedWorkers, s.Shards)...)
	s.sort()
	s.Regions = summarizeRegions(s)
	s.Pools = summarizePools(s.Shards)
	return s
}

// shardsWithoutOwner returns the shards of listed workers that are not among the
// known shards: no owner has sent a digest of them.
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

// newestRevision returns the newest revision of the tables that any instance has
// reported.
func newestRevision(sources Sources) uint64 {
	var revision uint64
	for _, r := range sources.RevisionReports {
		revision = max(revision, r.Revision)
	}
	for _, r := range sources.Reports {
		revision = max(revision, uint64(r.Status.Revision))
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

// summarizeInstance combines an instance's own report with the revision that it
// last reported to its peers, which is used if the instance did not answer.
func summarizeInstance(report Report, revisionReport RevisionReport, newest uint64) Instance {
	i := Instance{Instance: report.Instance, Revision: revisionReport.Revision, AgeMillis: revisionReport.Age.Milliseconds()}
	if report.Err != nil {
		i.Trouble = "does not answer: " + causeOf(report.Err)
		return i
	}
	i.Instance = report.Status.Instance
	i.Revision = uint64(report.Status.Revision)
	i.AgeMillis = 0
	i.Uptime = report.Status.Uptime
	i.InFlight = report.Status.InFlight
	switch {
	case report.Status.NotReady != "":
		i.Trouble = "not ready: " + report.Status.NotReady
	case i.Revision < newest:
		i.Trouble = fmt.Sprintf("has revision %d of the tables in force, not %d", i.Revision, newest)
	}
	return i
}

// causeOf returns the text of an error of a call. For an error that contains the
// URL of the call, it returns only the text of the cause.
func causeOf(err error) string {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err.Error()
	}
	return err.Error()
}

// unfitWorkers returns those workers of the shards that get no new tasks.
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

// unfitReason returns the reasons for which a worker gets no new tasks; empty if
// there are none.
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

// add adds the counts of a shard to its region.
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

// summarizePool adds up the digests of one pool from all shards.
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

// summarizeQueue adds up the waiting tasks of one class and returns the range of
// the waits that the shards expect for it.
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

// sumRefusals adds up, over all instances, the requests that each limit of each
// route refused. The team and the time are those of the last refusal.
func sumRefusals(reports []Report) []limit.RefusalCount {
	sums := []limit.RefusalCount{}
	for _, r := range reports {
		for _, f := range r.Status.Refusals {
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
