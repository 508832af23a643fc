package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// load reads what the store holds of the home and writes the head anew under
// the home's epoch. From then on no earlier owner's write can take effect.
func (h *Partition) load(ctx context.Context) error {
	for {
		c, err := h.list(ctx)
		if err != nil {
			return err
		}
		if c.head.Epoch > h.epoch {
			return &NotOwnerError{Home: h.name}
		}
		err = h.fence(ctx, c)
		var conflict *lovagestand.ConflictError
		if errors.As(err, &conflict) {
			// An earlier owner's write came in between: read it too.
			continue
		}
		if err != nil {
			return err
		}
		h.adopt(c, time.Now())
		return nil
	}
}

func (h *Partition) list(ctx context.Context) (contents, error) {
	h.count(func(s *Stats) { s.Reads++ })
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	values, err := h.store.List(ctx, string(h.name)+"/")
	if err != nil {
		return contents{}, errors.Wrapf(err, "read claims of %s", h.name)
	}
	return decodeAll(h.name, values)
}

// fence replaces the head that was read by the same one under the home's
// epoch. After an error it may still take effect; it holds the same claims, so
// reading it later is as good.
func (h *Partition) fence(ctx context.Context, c contents) error {
	fenced := c.head
	fenced.Epoch = h.epoch
	fenced.Token = h.nextID()
	data, err := encode(fenced)
	if err != nil {
		return err
	}
	err = h.pay(ctx)
	if err != nil {
		return err
	}
	h.revision, err = h.put(ctx, headKey(h.name), data, c.revision)
	return err
}

// adopt takes over the claims that were read and live still, the newest last.
func (h *Partition) adopt(c contents, now time.Time) {
	h.archives = c.head.Archives
	h.orphans = c.orphans
	for i, older := range c.older {
		for _, claim := range older {
			h.entries[claim.Key] = loadedEntry(claim, h.archives[i].Key)
		}
	}
	for _, claim := range c.head.Claims {
		e := loadedEntry(claim, "")
		e.inHead = true
		h.entries[claim.Key] = e
		h.inHead = append(h.inHead, e)
	}
	h.sweep(now)
}
