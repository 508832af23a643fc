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
	// rollRecords is how many claims the head holds before they are moved to
	// an archive.
	rollRecords = 128
	// maxBatch is how many claims one write adds at most. Together with
	// rollRecords and the limits on keys and reasons it keeps every document
	// well below [lovagestand.MaxValueBytes].
	maxBatch = 256
	// maxCarried is how many living claims an archive may hold and be dropped.
	maxCarried = 64
	// sweepInterval is how often expired claims are forgotten.
	sweepInterval = 30 * time.Second
	// rightInterval is how often the right is looked at while nothing happens.
	rightInterval = time.Second
	// maxPause is the longest pause between tries of an ambiguous write.
	maxPause = 2 * time.Second
)

// group is one write of the head: the document and what it will have stored.
type group struct {
	data     []byte
	token    string
	entries  []*entry
	versions []uint64
}

// Run writes claims until the right to the home ends or ctx does. Then the
// home is closed: calls fail with a [NotOwnerError].
func (h *Partition) Run(ctx context.Context) error {
	defer h.close()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	check := time.NewTicker(rightInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-check.C:
		case <-sweep.C:
			h.sweep(time.Now())
		case <-h.wake:
			err := h.flush(ctx)
			if err != nil {
				return err
			}
		}
		_, err := h.right()
		if err != nil {
			return err
		}
	}
}

// flush writes until nothing waits to be written.
func (h *Partition) flush(ctx context.Context) error {
	for {
		err := h.dropOrphans(ctx)
		if err != nil {
			return err
		}
		err = h.roll(ctx, time.Now())
		if err != nil {
			return err
		}
		if h.Stats().Pending == 0 {
			return nil
		}
		// The group is made up after the wait for the budget, so that it takes
		// what came in meanwhile.
		err = h.pay(ctx)
		if err != nil {
			return err
		}
		g, err := h.nextGroup()
		if err != nil || g == nil {
			return err
		}
		err = h.write(ctx, g)
		if err != nil {
			return err
		}
		h.stored(g)
	}
}

// nextGroup takes claims from the queue; nil if none wait.
func (h *Partition) nextGroup() (*group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) == 0 {
		return nil, nil
	}
	n := min(len(h.queue), maxBatch)
	for _, e := range h.queue[:n] {
		e.queued = false
		h.addToHead(e)
	}
	h.queue = append([]*entry(nil), h.queue[n:]...)
	return h.headGroup()
}

// addToHead makes the next head hold an entry's claim. The caller holds the
// lock.
func (h *Partition) addToHead(e *entry) {
	if e.inHead {
		return
	}
	e.inHead = true
	e.archive = ""
	h.inHead = append(h.inHead, e)
}

// headGroup encodes the head as it is to be. The caller holds the lock.
func (h *Partition) headGroup() (*group, error) {
	g := &group{token: h.nextID()}
	d := head{Epoch: h.epoch, Token: g.token, Archives: h.archives}
	for _, e := range h.inHead {
		d.Claims = append(d.Claims, e.claim)
		e.sent = e.version
		g.entries = append(g.entries, e)
		g.versions = append(g.versions, e.version)
	}
	var err error
	g.data, err = encode(d)
	return g, err
}

// stored records that a group is surely in the store.
func (h *Partition) stored(g *group) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range g.entries {
		e.wrote(g.versions[i])
	}
}

// write puts a group, paid for, into the store and returns nil only when it is surely
// there. A write without a reply may take effect at any later time, so the
// same write is repeated until it is known to have taken effect or another
// owner's has.
func (h *Partition) write(ctx context.Context, g *group) error {
	pause := h.pauses()
	for {
		revision, err := h.put(ctx, headKey(h.name), g.data, h.revision)
		var conflict *lovagestand.ConflictError
		if errors.As(err, &conflict) {
			revision, err = h.recognise(ctx, g.token)
		}
		if err == nil {
			h.revision = revision
			return nil
		}
		var lost *NotOwnerError
		if errors.As(err, &lost) {
			return err
		}
		err = sleep(ctx, pause.NextBackOff())
		if err != nil {
			return err
		}
		err = h.pay(ctx)
		if err != nil {
			return err
		}
	}
}

// recognise reads the head back after a conflict: the present head is either
// the write named token, whose reply was lost, or another owner's.
func (h *Partition) recognise(ctx context.Context, token string) (lovagestand.Revision, error) {
	v, err := h.get(ctx, headKey(h.name))
	if err != nil {
		return 0, err
	}
	d, err := decodeHead(v)
	if err != nil {
		return 0, err
	}
	if d.Token != token || d.Epoch != h.epoch {
		return 0, &NotOwnerError{Home: h.name}
	}
	return v.Revision, nil
}

// roll moves the claims of a full head into an archive and drops archives
// that have expired. The next write of the head makes both known.
func (h *Partition) roll(ctx context.Context, now time.Time) error {
	if len(h.inHead) < rollRecords {
		return nil
	}
	a := archive{Key: h.archiveKey()}
	h.mu.Lock()
	moved, data, err := h.archiveData(&a, now)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	err = h.pay(ctx)
	if err != nil {
		return err
	}
	a.Revision, err = h.put(ctx, a.Key, data, 0)
	if err != nil {
		// The head keeps its claims; the document, if it is there, is an
		// orphan that the next owner deletes.
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.inHead {
		e.inHead = false
	}
	for _, e := range moved {
		e.archive = a.Key
	}
	h.inHead = nil
	h.archives = append(append([]archive(nil), h.archives...), a)
	h.dropArchives(now)
	return nil
}

func (h *Partition) archiveKey() string {
	h.sequence++
	epoch := strconv.FormatUint(uint64(h.epoch), 10)
	return string(h.name) + "/archive-" + epoch + "-" + strconv.Itoa(h.sequence)
}

// archiveData encodes the claims of the head that have not expired. The caller
// holds the lock.
func (h *Partition) archiveData(a *archive, now time.Time) ([]*entry, []byte, error) {
	var d archived
	var moved []*entry
	for _, e := range h.inHead {
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

// dropArchives stops naming the oldest archive if it has expired, and carries
// the few claims that still live in it over to the head. The caller holds the
// lock.
func (h *Partition) dropArchives(now time.Time) {
	i := slices.IndexFunc(h.archives, func(a archive) bool { return !now.Before(a.Until) })
	if i < 0 {
		return
	}
	var living []*entry
	for _, e := range h.entries {
		if e.archive == h.archives[i].Key && !e.expired(now) {
			living = append(living, e)
		}
	}
	if len(living) > maxCarried {
		h.archives[i].Until = now.Add(sweepInterval)
		return
	}
	for _, e := range living {
		h.addToHead(e)
	}
	h.orphans = append(h.orphans, h.archives[i])
	h.archives = slices.Delete(h.archives, i, i+1)
}

// dropOrphans deletes archives that no head names. It runs before the head is
// changed, so what it deletes was already unnamed by the last one written.
func (h *Partition) dropOrphans(ctx context.Context) error {
	for _, a := range h.orphans {
		err := h.pay(ctx)
		if err != nil {
			return err
		}
		h.count(func(s *Stats) { s.Writes++ })
		bounded, cancel := context.WithTimeout(ctx, writeTimeout)
		_ = h.store.Delete(bounded, a.Key, a.Revision) // the next owner finds it again
		cancel()
	}
	h.orphans = nil
	return nil
}

// pay waits for the home's write budget and checks the right afterwards.
func (h *Partition) pay(ctx context.Context) error {
	err := h.budget.Wait(ctx)
	if err != nil {
		return errors.Wrap(err, "wait for the write budget")
	}
	_, err = h.right()
	return err
}

func (h *Partition) put(ctx context.Context, key string, data []byte, previous lovagestand.Revision) (lovagestand.Revision, error) {
	h.count(func(s *Stats) {
		s.Writes++
		s.WrittenBytes += len(data)
	})
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return h.store.Put(ctx, key, data, previous, 0)
}

func (h *Partition) get(ctx context.Context, key string) (lovagestand.Value, error) {
	h.count(func(s *Stats) { s.Reads++ })
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return h.store.Get(ctx, key)
}

func (h *Partition) count(change func(*Stats)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.stats)
}

func newPause() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.Multiplier = 2
	b.MaxInterval = maxPause
	return b
}

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
