package peer

import (
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// digestRetention is how long an old digest is of any use.
	digestRetention = time.Minute
	// maxClients is how many clients of peers, most of them gone, are kept.
	maxClients = 256
	// revisionRetention is how long an instance's last word counts.
	revisionRetention = 30 * time.Second
)

// DigestView is the newest digest known of a shard.
type DigestView struct {
	Digest lovagestand.Digest
	Owner  lovagestand.InstanceID
	Epoch  lovagestand.Epoch
	// Age is how long ago the owner summed it up, less the time on the way.
	Age time.Duration
	// createdAt is when it was summed up, by this process's clock.
	createdAt time.Time
}

// TablesRevision is the revision of the tables that an instance has in force.
type TablesRevision struct {
	Instance lovagestand.InstanceID
	Revision uint64
	// Age is how long ago the instance said so.
	Age time.Duration
}

// revisionReport is what an instance last said of itself.
type revisionReport struct {
	revision   uint64
	reportedAt time.Time
}

// SetDigestFunc sets the function that sums up the shards this instance owns. It is
// called once in two heartbeats.
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

// Digest returns the newest digest known of a shard; false if there is none.
func (p *Peer) Digest(shard lovagestand.ShardName) (DigestView, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.digests[shard]
	return v.withAge(time.Now()), ok
}

// Digests returns the newest digests known of shards that serve a pool, sorted
// by shard; an empty pool stands for all. Of other regions they are those that
// have most free.
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

// TablesRevisions returns the tables' revision by instance, sorted by instance.
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

// refreshDigests takes this instance's own digests for the next heartbeat. It runs apart
// from the heartbeats, which must not wait for it.
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
		lease, ok := p.node.Right(now, d.Shard)
		if !ok {
			continue
		}
		v := DigestView{Digest: d, Owner: p.self.ID, Epoch: lease.Epoch, createdAt: now}
		p.recordDigest(v)
		p.unsentDigests = append(p.unsentDigests, toDigest(v))
	}
	p.prune(now)
}

// recordDigest keeps a digest if it is newer than the one known.
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
