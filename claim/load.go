package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// load reads what the store holds of the home and writes the head anew under
// the home's epoch. From then on no earlier owner's write can take effect.
func (p *Partition) load(ctx context.Context) error {
	for {
		c, err := p.readContents(ctx)
		if err != nil {
			return err
		}
		if c.head.Epoch > p.epoch {
			return &NotOwnerError{Home: p.name}
		}
		err = p.fence(ctx, c)
		var conflict *lovagestand.ConflictError
		if errors.As(err, &conflict) {
			// An earlier owner's write came in between: read it too.
			continue
		}
		if err != nil {
			return err
		}
		p.adopt(c, time.Now())
		return nil
	}
}

func (p *Partition) readContents(ctx context.Context) (contents, error) {
	p.updateStats(func(s *Stats) { s.Reads++ })
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	values, err := p.store.List(ctx, string(p.name)+"/")
	if err != nil {
		return contents{}, errors.Wrapf(err, "read claims of %s", p.name)
	}
	return decodeContents(p.name, values)
}

// fence replaces the head that was read by the same one under the home's
// epoch. After an error it may still take effect; it holds the same claims, so
// reading it later is as good.
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

// adopt takes over the claims that were read and live still, the newest last.
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
