package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// load reads the contents of the partition from the store and rewrites the head
// with this owner's epoch. From then on no write of an earlier owner can take
// effect.
func (p *Partition) load(ctx context.Context) error {
	for {
		c, err := p.readContents(ctx)
		if err != nil {
			return err
		}
		if c.head.Epoch > p.epoch {
			return &NotOwnerError{Partition: p.name}
		}
		err = p.fence(ctx, c)
		var conflict *lovagestand.ConflictError
		if errors.As(err, &conflict) {
			// An earlier owner has written the head since it was read, so it is
			// read again.
			continue
		}
		if err != nil {
			return err
		}
		p.adopt(c, time.Now())
		return nil
	}
}

// readContents reads and decodes all documents of the partition.
func (p *Partition) readContents(ctx context.Context) (contents, error) {
	p.updateStats(func(s *Stats) { s.Reads++ })
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	values, err := p.store.List(ctx, string(p.name)+"/")
	if err != nil {
		return contents{}, errors.Wrapf(err, "read claims of %s", p.name)
	}
	return decodeContents(p.name, values)
}

// fence replaces the head that was read by the same head with this owner's epoch.
// After an error the write may still take effect. That does no harm, because the
// new head contains the same claims as the old one.
func (p *Partition) fence(ctx context.Context, c contents) error {
	fenced := c.head
	fenced.Epoch = p.epoch
	fenced.Token = p.nextID()
	data, err := encode(fenced)
	if err != nil {
		return err
	}
	err = p.awaitBudget(ctx)
	if err != nil {
		return err
	}
	p.revision, err = p.put(ctx, headKey(p.name), data, c.revision)
	return err
}

// adopt adds the claims that were read to memory and removes those that have
// expired. If several claims have the same key, the newest one counts, which is
// the last one read.
func (p *Partition) adopt(c contents, now time.Time) {
	p.archives = c.head.Archives
	p.orphans = c.orphans
	for i, claims := range c.archivedClaims {
		for _, claim := range claims {
			p.entries[claim.Key] = loadedEntry(claim, p.archives[i].Key)
		}
	}
	for _, claim := range c.head.Claims {
		e := loadedEntry(claim, "")
		e.inHead = true
		p.entries[claim.Key] = e
		p.headEntries = append(p.headEntries, e)
	}
	p.sweep(now)
}
