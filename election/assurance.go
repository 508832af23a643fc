package election

import (
	"context"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

const (
	// Overlap is how long after the next ownership of a shard has begun an
	// owner that is cut off may still be assured of its own.
	Overlap = ownerTTL
	// memberPollInterval spaces looks at whether to ask the members, which happens
	// once neither they nor the store have confirmed an ownership for
	// consultAfter.
	memberPollInterval = 100 * time.Millisecond
	memberPollAfter    = ownerTTL / 2
	// memberPollTimeout bounds one question to all members.
	memberPollTimeout = 300 * time.Millisecond
)

// age returns the time since at. The steady clock may not count while a machine
// is suspended, the other one may be set back.
func age(at time.Time) time.Duration {
	return max(time.Since(at), time.Since(at.Round(0)))
}

// Assured reports whether no other owner is expected to order workers: the
// store has confirmed the ownership a moment ago or, where it does not answer,
// a majority of the members knows of no other. An owner that is not assured
// lets the leases of workers end, since the next one may not reach them.
func (c *Candidate) Assured() bool {
	return c.unconfirmedFor() < ownerTTL
}

// unconfirmedFor returns how long nobody has confirmed the ownership.
func (c *Candidate) unconfirmedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(age(c.storeConfirmedAt), age(c.majorityConfirmedAt))
}

// OwnershipEnded reports whether the ownership with an epoch is known to have ended.
func (c *Candidate) OwnershipEnded(epoch lovagestand.Epoch) bool {
	c.mu.Lock()
	won := c.wonEpoch
	c.mu.Unlock()
	return won > epoch || c.Directory.OwnershipEnded(c.Shard, epoch)
}

// confirmWithMembers asks the members while the store does not confirm an ownership; it
// returns when one of them knows of its end, or ctx ends.
func (c *Candidate) confirmWithMembers(ctx context.Context, epoch lovagestand.Epoch) {
	for pause.For(ctx, memberPollInterval) {
		if c.unconfirmedFor() < memberPollAfter {
			continue
		}
		begun := time.Now()
		confirmed, ended := c.pollMembers(ctx, epoch)
		if ended {
			c.Log.Warn().Str("shard", c.Shard).Uint64("epoch", uint64(epoch)).Msg("ownership lost: another instance knows of its end")
			return
		}
		if confirmed {
			c.mu.Lock()
			c.majorityConfirmedAt = begun
			c.mu.Unlock()
		}
	}
}

// pollMembers asks all members whether an ownership is over. It is confirmed if a
// majority, this instance included, does not know that it is.
func (c *Candidate) pollMembers(ctx context.Context, epoch lovagestand.Epoch) (confirmed, ended bool) {
	members := c.Directory.Members()
	others := slices.DeleteFunc(slices.Clone(members), func(m lovagestand.Instance) bool { return m.ID == c.Self.ID })
	if len(others) == len(members) || c.AskOver == nil {
		return false, false
	}
	limited, cancel := context.WithTimeout(ctx, memberPollTimeout)
	defer cancel()
	type answer struct{ received, ended bool }
	answers := make(chan answer, len(others))
	for _, m := range others {
		go func() {
			ended, err := c.AskOver(limited, m, epoch)
			answers <- answer{received: err == nil, ended: err == nil && ended}
		}()
	}
	agreed := 1
	for range others {
		a := <-answers
		ended = ended || a.ended
		if a.received && !a.ended {
			agreed++
		}
	}
	return 2*agreed > len(members), ended
}
