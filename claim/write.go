package claim

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

const (
	// archiveThreshold is the number of claims in the head at which they are
	// moved to an archive.
	archiveThreshold = 128
	// maxBatch is the maximum number of claims that one write adds to the head.
	// Together with archiveThreshold and the limits on keys and reasons it keeps
	// every document well below [lovagestand.MaxValueBytes].
	maxBatch = 256
	// maxCarriedOver is the maximum number of unexpired claims that are carried
	// over to the head to drop an archive. An archive with more is not dropped.
	maxCarriedOver = 64
	// sweepInterval is the interval at which expired claims are removed from
	// memory.
	sweepInterval = 30 * time.Second
	// leaseCheckInterval is the interval at which the ownership lease is checked
	// while nothing else happens.
	leaseCheckInterval = time.Second
	// maxBackoff is the longest delay of defaultBackoff, which applies for
	// example to the tries of a store write whose outcome is unknown.
	maxBackoff = 2 * time.Second
)

// headWrite is one write of the head.
type headWrite struct {
	// data is the encoded document, token its Token.
	data  []byte
	token string
	// entries are the entries whose claims the document contains, versions
	// their versions in it.
	entries  []*entry
	versions []uint64
}

// Run writes claims until the ownership lease or ctx ends. Then it closes the
// partition, so that calls fail with a [NotOwnerError].
func (p *Partition) Run(ctx context.Context) error {
	defer p.close()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	leaseCheck := time.NewTicker(leaseCheckInterval)
	defer leaseCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-leaseCheck.C:
		case <-sweep.C:
			p.sweep(time.Now())
		case <-p.wake:
			err := p.flush(ctx)
			if err != nil {
				return err
			}
		}
		_, err := p.lease()
		if err != nil {
			return err
		}
	}
}

// flush writes the head until no entry waits to be written.
func (p *Partition) flush(ctx context.Context) error {
	for {
		err := p.deleteOrphans(ctx)
		if err != nil {
			return err
		}
		err = p.archiveHead(ctx, time.Now())
		if err != nil {
			return err
		}
		if p.Stats().Pending == 0 {
			return nil
		}
		// The write is assembled after the wait for the budget, so that it
		// contains the claims that were enqueued during the wait.
		err = p.awaitBudget(ctx)
		if err != nil {
			return err
		}
		write, err := p.nextHeadWrite()
		if err != nil || write == nil {
			return err
		}
		err = p.storeHead(ctx, write)
		if err != nil {
			return err
		}
		p.markStored(write)
		p.orphans = append(p.orphans, p.dropped...)
		p.dropped = nil
	}
}

// nextHeadWrite moves up to maxBatch entries from the queue to the head and
// returns the next write. It returns nil if the queue is empty.
func (p *Partition) nextHeadWrite() (*headWrite, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return nil, nil
	}
	n := min(len(p.queue), maxBatch)
	for _, e := range p.queue[:n] {
		e.queued = false
		p.addToHead(e)
	}
	p.queue = append([]*entry(nil), p.queue[n:]...)
	return p.encodeHead()
}

// addToHead adds an entry's claim to the next head. The caller holds the lock.
func (p *Partition) addToHead(e *entry) {
	if e.inHead {
		return
	}
	e.inHead = true
	e.archive = ""
	p.headEntries = append(p.headEntries, e)
}

// encodeHead returns the write of the next head. The caller holds the lock.
func (p *Partition) encodeHead() (*headWrite, error) {
	write := &headWrite{token: p.nextID()}
	d := head{Epoch: p.epoch, Token: write.token, Archives: p.archives}
	for _, e := range p.headEntries {
		d.Claims = append(d.Claims, e.claim)
		e.sent = e.version
		write.entries = append(write.entries, e)
		write.versions = append(write.versions, e.version)
	}
	var err error
	write.data, err = encode(d)
	return write, err
}

// markStored records that a write is guaranteed to be in the store.
func (p *Partition) markStored(write *headWrite) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range write.entries {
		e.recordStored(write.versions[i])
	}
}

// storeHead puts a write into the store and returns nil only if it is guaranteed
// to be there. The caller has already waited for the write budget. A write
// without a reply may take effect at any later time, so the same write is
// repeated until either it or a write of another owner is known to have taken
// effect.
func (p *Partition) storeHead(ctx context.Context, write *headWrite) error {
	backoffs := p.newBackoff()
	for {
		revision, err := p.put(ctx, headKey(p.name), write.data, p.revision)
		var conflict *lovagestand.ConflictError
		if errors.As(err, &conflict) {
			revision, err = p.resolveConflict(ctx, write.token)
		}
		if err == nil {
			p.revision = revision
			return nil
		}
		var notOwner *NotOwnerError
		if errors.As(err, &notOwner) {
			return err
		}
		err = sleep(ctx, backoffs.NextBackOff())
		if err != nil {
			return err
		}
		err = p.awaitBudget(ctx)
		if err != nil {
			return err
		}
	}
}

// resolveConflict reads the head back after a conflict. The current head is
// either the write with the given token, whose reply was lost, or the write of
// another owner. In the first case resolveConflict returns the head's revision,
// in the second case a [NotOwnerError].
func (p *Partition) resolveConflict(ctx context.Context, token string) (lovagestand.Revision, error) {
	v, err := p.get(ctx, headKey(p.name))
	if err != nil {
		return 0, err
	}
	d, err := decodeHead(v)
	if err != nil {
		return 0, err
	}
	if d.Token != token || d.Epoch != p.epoch {
		return 0, &NotOwnerError{Partition: p.name}
	}
	return v.Revision, nil
}

// archiveHead moves the claims of a full head into a new archive and drops an
// expired archive. Both take effect with the next write of the head.
func (p *Partition) archiveHead(ctx context.Context, now time.Time) error {
	if len(p.headEntries) < archiveThreshold {
		return nil
	}
	a := archive{Key: p.archiveKey()}
	p.mu.Lock()
	moved, data, err := p.archiveData(&a, now)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	err = p.awaitBudget(ctx)
	if err != nil {
		return err
	}
	a.Revision, err = p.put(ctx, a.Key, data, 0)
	if err != nil {
		// The claims stay in the head. If the document was written all the
		// same, it is an orphan that the next owner deletes.
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.headEntries {
		e.inHead = false
	}
	for _, e := range moved {
		e.archive = a.Key
	}
	p.headEntries = nil
	p.archives = append(append([]archive(nil), p.archives...), a)
	p.dropExpiredArchive(now)
	return nil
}

// archiveKey returns the store key of the next archive.
func (p *Partition) archiveKey() string {
	p.sequence++
	epoch := strconv.FormatUint(uint64(p.epoch), 10)
	return string(p.name) + "/archive-" + epoch + "-" + strconv.Itoa(p.sequence)
}

// archiveData encodes the claims of the head that have not expired and returns
// their entries. It sets a.Until. The caller holds the lock.
func (p *Partition) archiveData(a *archive, now time.Time) ([]*entry, []byte, error) {
	var d archiveContent
	var moved []*entry
	for _, e := range p.headEntries {
		if e.expired(now) {
			continue
		}
		d.Claims = append(d.Claims, e.claim)
		moved = append(moved, e)
		until := e.claim.ExpiresAt()
		if !e.claim.Settled() {
			until = e.claim.StartBy.Add(e.claim.Retention)
		}
		if until.After(a.Until) {
			a.Until = until
		}
	}
	data, err := encode(d)
	return moved, data, err
}

// dropExpiredArchive removes the oldest expired archive from the list of the next
// head and carries the few unexpired claims of the archive over to the head. If
// there are more than maxCarriedOver of them, the archive stays for another
// sweepInterval. The caller holds the lock.
func (p *Partition) dropExpiredArchive(now time.Time) {
	i := slices.IndexFunc(p.archives, func(a archive) bool { return !now.Before(a.Until) })
	if i < 0 {
		return
	}
	var unexpired []*entry
	for _, e := range p.entries {
		if e.archive == p.archives[i].Key && !e.expired(now) {
			unexpired = append(unexpired, e)
		}
	}
	if len(unexpired) > maxCarriedOver {
		p.archives[i].Until = now.Add(sweepInterval)
		return
	}
	for _, e := range unexpired {
		p.addToHead(e)
	}
	p.dropped = append(p.dropped, p.archives[i])
	p.archives = slices.Delete(p.archives, i, i+1)
}

// deleteOrphans deletes the archives that the stored head does not list.
func (p *Partition) deleteOrphans(ctx context.Context) error {
	for _, a := range p.orphans {
		err := p.awaitBudget(ctx)
		if err != nil {
			return err
		}
		p.updateStats(func(s *Stats) { s.Writes++ })
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_ = p.store.Delete(callCtx, a.Key, a.Revision) // The next owner finds a remaining archive.
		cancel()
	}
	p.orphans = nil
	return nil
}

// awaitBudget waits until the partition's write budget permits a write. Afterwards
// it checks the ownership lease.
func (p *Partition) awaitBudget(ctx context.Context) error {
	err := p.writeBudget.Wait(ctx)
	if err != nil {
		return errors.Wrap(err, "wait for the write budget")
	}
	_, err = p.lease()
	return err
}

// put replaces the value of a store key, see [lovagestand.Store], and counts the
// call.
func (p *Partition) put(ctx context.Context, key string, data []byte, previous lovagestand.Revision) (lovagestand.Revision, error) {
	p.updateStats(func(s *Stats) {
		s.Writes++
		s.WrittenBytes += len(data)
	})
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.store.Put(ctx, key, data, previous, 0)
}

// get returns the value of a store key and counts the call.
func (p *Partition) get(ctx context.Context, key string) (lovagestand.Value, error) {
	p.updateStats(func(s *Stats) { s.Reads++ })
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.store.Get(ctx, key)
}

func (p *Partition) updateStats(change func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// defaultBackoff returns delays that start at 50 ms and double up to maxBackoff.
func defaultBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.Multiplier = 2
	b.MaxInterval = maxBackoff
	return b
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
