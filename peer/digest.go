package peer

import (
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// digestRetention is how long a digest is kept if no newer one arrives.
	digestRetention = time.Minute
	// maxClients is how many clients for peers are kept. If there are more, all
	// are discarded, since most of them are for instances that are gone.
	maxClients = 256
	// revisionRetention is how long the last report of an instance is kept.
	revisionRetention = 30 * time.Second
)

// DigestView is the newest known digest of a shard.
type DigestView struct {
	Digest lovagestand.Digest
	Owner  lovagestand.InstanceID
	Epoch  lovagestand.Epoch
	// Age is the time since the owner created the digest, without the time in
	// transit.
	Age time.Duration
	// createdAt is when the digest was created, on the clock of this process.
	createdAt time.Time
}

// TablesRevision is the revision of the tables that an instance has in force.
type TablesRevision struct {
	Instance lovagestand.InstanceID
	Revision uint64
	// Age is the time since the instance reported the revision.
	Age time.Duration
}

// revisionReport is the revision of the tables that an instance last reported.
type revisionReport struct {
	revision   uint64
	reportedAt time.Time
}

// SetDigestFunc sets the function that returns the digests of the shards that this
// instance owns. The function is called once every two heartbeats.
func (p *Peer) SetDigestFunc(digest func() []lovagestand.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digestFunc = digest
}

// SetRevisionFunc sets the function that returns the revision of the tables that
// this instance has in force.
func (p *Peer) SetRevisionFunc(revision func() uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revisionFunc = revision
}

// Digest returns the newest known digest of a shard, and false if there is none.
func (p *Peer) Digest(shard lovagestand.ShardName) (DigestView, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.digests[shard]
	return v.withAge(time.Now()), ok
}

// Digests returns the newest known digests of the shards that serve a pool, sorted
// by shard. An empty pool stands for all pools. Other regions report only the
// shards with the most free resources and with the largest workers.
func (p *Peer) Digests(pool lovagestand.PoolName) []DigestView {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := time.Now()
	var views []DigestView
	for _, shard := range slices.Sorted(maps.Keys(p.digests)) {
		v := p.digests[shard]
		if pool == "" || v.serves(pool) {
			views = append(views, v.withAge(now))
		}
	}
	return views
}

// TablesRevisions returns the revision of the tables that each instance has last
// reported, sorted by instance.
func (p *Peer) TablesRevisions() []TablesRevision {
	own := p.ownRevision()
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := time.Now()
	revisions := []TablesRevision{{Instance: p.self.ID, Revision: own}}
	for id, report := range p.revisionReports {
		revisions = append(revisions, TablesRevision{Instance: id, Revision: report.revision, Age: now.Sub(report.reportedAt)})
	}
	slices.SortFunc(revisions, func(a, b TablesRevision) int { return compareIDs(a.Instance, b.Instance) })
	return revisions
}

func (p *Peer) ownRevision() uint64 {
	p.mu.RLock()
	revision := p.revisionFunc
	p.mu.RUnlock()
	return revision()
}

// refreshDigests creates the digests of this instance's own shards for the next
// heartbeat. It runs in a goroutine of its own, since heartbeats must not wait for
// it.
func (p *Peer) refreshDigests() {
	p.mu.RLock()
	digest := p.digestFunc
	p.mu.RUnlock()
	list := digest()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.unsentDigests = nil
	for _, d := range list {
		lease, ok := p.node.Lease(now, d.Shard)
		if !ok {
			continue
		}
		v := DigestView{Digest: d, Owner: p.self.ID, Epoch: lease.Epoch, createdAt: now}
		p.recordDigest(v)
		p.unsentDigests = append(p.unsentDigests, toDigest(v))
	}
	p.prune(now)
}

// recordDigest records a digest if it is newer than the recorded one.
func (p *Peer) recordDigest(v DigestView) {
	old, ok := p.digests[v.Digest.Shard]
	if ok && (old.Epoch > v.Epoch || old.Epoch == v.Epoch && !v.createdAt.After(old.createdAt)) {
		return
	}
	p.digests[v.Digest.Shard] = v
}

func (p *Peer) recordRevision(id lovagestand.InstanceID, revision uint64, reportedAt time.Time) {
	if id != p.self.ID && reportedAt.After(p.revisionReports[id].reportedAt) {
		p.revisionReports[id] = revisionReport{revision: revision, reportedAt: reportedAt}
	}
}

// prune removes outdated digests and revision reports, and excess clients. The caller
// holds p.mu.
func (p *Peer) prune(now time.Time) {
	maps.DeleteFunc(p.digests, func(_ lovagestand.ShardName, v DigestView) bool { return now.Sub(v.createdAt) > digestRetention })
	if len(p.clients) > maxClients {
		clear(p.clients)
	}
	maps.DeleteFunc(p.revisionReports, func(_ lovagestand.InstanceID, report revisionReport) bool {
		return now.Sub(report.reportedAt) > revisionRetention
	})
}

func (v DigestView) serves(pool lovagestand.PoolName) bool {
	return slices.ContainsFunc(v.Digest.Pools, func(d lovagestand.PoolDigest) bool { return d.Pool == pool })
}

func (v DigestView) withAge(now time.Time) DigestView {
	v.Age = now.Sub(v.createdAt)
	return v
}
