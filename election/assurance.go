package election

import (
	"context"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/clock"
	"lovagestand.example/lovagestand/common/pause"
)

const (
	// Overlap bounds how long a former owner that is cut off may still count as
	// assured, see [Candidate.Assured], after the next ownership of the shard
	// has begun.
	Overlap = ownerTTL
	// memberPollInterval is the time between checks of whether the members have
	// to be polled. They are polled once neither they nor the store have
	// confirmed the ownership for memberPollAfter.
	memberPollInterval = 100 * time.Millisecond
	memberPollAfter    = ownerTTL / 2
	// memberPollTimeout bounds one poll of all members.
	memberPollTimeout = 300 * time.Millisecond
)

// Assured reports whether this instance may assume that no other owner gives
// orders to workers: within ownerTTL the store has confirmed the ownership or,
// if the store does not answer, a majority of the members has reported that they
// have not seen it end. An owner that is not assured lets the leases of its
// workers expire, since the next owner may be unable to reach those workers.
func (c *Candidate) Assured() bool {
	return c.unconfirmedFor() < ownerTTL
}

// unconfirmedFor returns the time since the store or a majority of the members
// last confirmed the ownership.
func (c *Candidate) unconfirmedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(clock.Elapsed(c.storeConfirmedAt), clock.Elapsed(c.majorityConfirmedAt))
}

// OwnershipEnded reports whether the ownership with the given epoch is known to
// have ended: this instance has won a later one, or its directory shows the end.
func (c *Candidate) OwnershipEnded(epoch lovagestand.Epoch) bool {
	c.mu.Lock()
	won := c.wonEpoch
	c.mu.Unlock()
	return won > epoch || c.Directory.OwnershipEnded(c.Shard, epoch)
}

// confirmWithMembers polls the members while the store does not confirm an
// ownership. It returns when a member reports that the ownership has ended, or
// when ctx ends.
func (c *Candidate) confirmWithMembers(ctx context.Context, epoch lovagestand.Epoch) {
	for pause.For(ctx, memberPollInterval) {
		if c.unconfirmedFor() < memberPollAfter {
			continue
		}
		begun := time.Now()
		confirmed, ended := c.pollMembers(ctx, epoch)
		if ended {
			c.Log.Warn().Str("shard", c.Shard).Uint64("epoch", uint64(epoch)).Msg("ownership lost: another instance reports that it has ended")
			return
		}
		if confirmed {
			c.mu.Lock()
			c.majorityConfirmedAt = begun
			c.mu.Unlock()
		}
	}
}

// pollMembers asks all members whether an ownership has ended. The ownership is
// confirmed if a majority of the members, this instance included, has not seen
// it end.
func (c *Candidate) pollMembers(ctx context.Context, epoch lovagestand.Epoch) (confirmed, ended bool) {
	members := c.Directory.Members()
	others := slices.DeleteFunc(slices.Clone(members), func(m lovagestand.Instance) bool { return m.ID == c.Self.ID })
	if len(others) == len(members) || c.AskOwnershipEnded == nil {
		return false, false
	}
	limited, cancel := context.WithTimeout(ctx, memberPollTimeout)
	defer cancel()
	type answer struct{ received, ended bool }
	answers := make(chan answer, len(others))
	for _, m := range others {
		go func() {
			ended, err := c.AskOwnershipEnded(limited, m, epoch)
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
