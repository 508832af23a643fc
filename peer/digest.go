package peer

import (
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// digestKept is how long an old digest is of any use.
	digestKept = time.Minute
	// clientsKept is how many clients of peers, most of them gone, are kept.
	clientsKept = 256
	// newsKept is how long an instance's last word counts.
	newsKept = 30 * time.Second
)

// DigestView is the newest digest known of a shard.
type DigestView struct {
	Digest lovagestand.Digest
	Owner  lovagestand.InstanceID
	Epoch  lovagestand.Epoch
	// Age is how long ago the owner summed it up, less the time on the way.
	Age time.Duration
	// taken is when it was summed up, by this process's clock.
	taken time.Time
}

// TablesRevision is the revision of the tables that an instance has in force.
type TablesRevision struct {
	Instance lovagestand.InstanceID
	Revision uint64
	// Age is how long ago the instance said so.
	Age time.Duration
}

// news is what an instance last said of itself.
type news struct {
	revision uint64
	said     time.Time
}

// SetDigestFunc sets the function that sums up the shards this instance owns. It is
// called once in two heartbeats.
func (p *Peer) SetDigestFunc(digest func() []lovagestand.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digest = digest
}

// SetRevisionFunc sets the function that returns the revision of the tables that
// this instance has in force.
func (p *Peer) SetRevisionFunc(revision func() uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = revision
}

// Digest returns the newest digest known of a shard; false if there is none.
func (p *Peer) Digest(shard lovagestand.ShardName) (DigestView, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.digests[shard]
	return v.aged(time.Now()), ok
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
			views = append(views, v.aged(now))
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
	for id, s := range p.news {
		revisions = append(revisions, TablesRevision{Instance: id, Revision: s.revision, Age: now.Sub(s.said)})
	}
	slices.SortFunc(revisions, func(a, b TablesRevision) int { return compareIDs(a.Instance, b.Instance) })
	return revisions
}

func (p *Peer) ownRevision() uint64 {
	p.mu.RLock()
	revision := p.revision
	p.mu.RUnlock()
	return revision()
}

// sumUp takes this instance's own digests for the next heartbeat. It runs apart
// from the heartbeats, which must not wait for it.
func (p *Peer) sumUp() {
	p.mu.RLock()
	digest := p.digest
	p.mu.RUnlock()
	list := digest()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.fresh = nil
	for _, d := range list {
		right, ok := p.node.Right(now, d.Shard)
		if !ok {
			continue
		}
		v := DigestView{Digest: d, Owner: p.self.ID, Epoch: right.Epoch, taken: now}
		p.note(v)
		p.fresh = append(p.fresh, toDigest(v))
	}
	p.forget(now)
}

// note keeps a digest if it is newer than the one known.
func (p *Peer) note(v DigestView) {
	old, ok := p.digests[v.Digest.Shard]
	if ok && (old.Epoch > v.Epoch || old.Epoch == v.Epoch && !v.taken.After(old.taken)) {
		return
	}
	p.digests[v.Digest.Shard] = v
}

func (p *Peer) hear(id lovagestand.InstanceID, revision uint64, said time.Time) {
	if id != p.self.ID && said.After(p.news[id].said) {
		p.news[id] = news{revision: revision, said: said}
	}
}

func (p *Peer) forget(now time.Time) {
	maps.DeleteFunc(p.digests, func(_ lovagestand.ShardName, v DigestView) bool { return now.Sub(v.taken) > digestKept })
	if len(p.clients) > clientsKept {
		clear(p.clients)
	}
	maps.DeleteFunc(p.news, func(_ lovagestand.InstanceID, s news) bool { return now.Sub(s.said) > newsKept })
}

func (v DigestView) serves(pool lovagestand.PoolName) bool {
	return slices.ContainsFunc(v.Digest.Pools, func(d lovagestand.PoolDigest) bool { return d.Pool == pool })
}

func (v DigestView) aged(now time.Time) DigestView {
	v.Age = now.Sub(v.taken)
	return v
}
