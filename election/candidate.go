package election

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/jobstore"
)

const (
	// ownerTTL is how long a crashed owner keeps its shard: the shortest that
	// outlives a store that answers in half a second.
	ownerTTL = 1500 * time.Millisecond
	// memberTTL is how long a crashed instance stays listed.
	memberTTL = 4 * time.Second
	// renewals is how many renewals fit into the time to live of a lease.
	renewals = 4
	// maxHandicap bounds how long an instance far from the store lets nearer
	// ones go first.
	maxHandicap = 200 * time.Millisecond
	// handicapFactor times the store's round trip is that wait.
	handicapFactor = 4
)

// Candidate contends for one shard and holds it while it can.
type Candidate struct {
	Shard     string
	Self      lovagestand.Instance
	Keys      lovagestand.Keyspace
	Directory *Directory
	Log       zerolog.Logger
	// Serve runs the shard for a term; it returns when ctx ends or the term
	// is seen to be over.
	Serve func(ctx context.Context, term jobstore.Term, confirmed func() bool)

	mu        sync.Mutex
	confirmed time.Time
}

// Run contends until ctx ends. It then gives the shard up at once.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.vacant(ctx) {
			continue
		}
		term, lease, err := c.win(ctx)
		if err != nil {
			c.Log.Debug().Err(err).Str("shard", c.Shard).Msg("shard not won")
			pause.For(ctx, retryDelay)
			continue
		}
		c.serve(ctx, term, lease)
	}
}

// vacant waits until the shard has no owner and nearer instances had their
// turn.
func (c *Candidate) vacant(ctx context.Context) bool {
	changed := c.Directory.Changed()
	if owner, owned := c.Directory.Owner(c.Shard); owned || !c.Directory.Loaded() {
		if owned && owner.ID == c.Self.ID && owner.Address == c.Self.Address {
			// A leftover of an attempt whose reply was lost ends with its lease.
			c.Directory.Refresh()
			return pause.For(ctx, retryDelay) && false
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return false
	}
	if !pause.For(ctx, c.handicap(ctx)) {
		return false
	}
	_, owned := c.Directory.Owner(c.Shard)
	return !owned
}

// handicap measures how far the store is.
func (c *Candidate) handicap(ctx context.Context) time.Duration {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	item, err := c.Keys.Item(limited, OwnerKey(c.Shard))
	if err != nil || item.Revision != 0 {
		return maxHandicap
	}
	return min(maxHandicap, handicapFactor*time.Since(begun))
}

func (c *Candidate) win(ctx context.Context) (jobstore.Term, lovagestand.LeaseID, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	lease, _, err := c.Keys.Grant(limited, ownerTTL)
	if err != nil {
		return jobstore.Term{}, 0, errors.Wrap(err, "grant lease")
	}
	value, err := json.Marshal(c.Self)
	if err != nil {
		return jobstore.Term{}, 0, errors.Wrap(err, "encode owner")
	}
	key := OwnerKey(c.Shard)
	revision, err := c.Keys.Commit(limited, lovagestand.Transaction{
		If: []lovagestand.Condition{{Key: key}},
		Set: []lovagestand.Write{
			{Key: key, Value: value, Lease: lease},
			{Key: jobstore.SequenceKey(c.Shard), Value: []byte("begin " + string(c.Self.ID))},
		},
	})
	if err != nil {
		c.release(lease)
		return jobstore.Term{}, 0, err
	}
	c.confirm(begun)
	return jobstore.Term{Shard: c.Shard, Key: key, Epoch: lovagestand.Epoch(revision), Sequence: revision}, lease, nil
}

// release ends a lease so that whatever it may hold does not linger.
func (c *Candidate) release(lease lovagestand.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.Keys.End(ctx, lease); err != nil {
		c.Log.Debug().Err(err).Uint64("lease", uint64(lease)).Msg("lease not ended, it will expire")
	}
}

func (c *Candidate) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = at
}

// current reports whether the ownership was confirmed within the lease.
func (c *Candidate) current() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.confirmed) < ownerTTL
}

func (c *Candidate) serve(ctx context.Context, term jobstore.Term, lease lovagestand.LeaseID) {
	log := c.Log.With().Str("shard", c.Shard).Uint64("epoch", uint64(term.Epoch)).Logger()
	log.Info().Msg("ownership won")
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var renewing sync.WaitGroup
	renewing.Go(func() {
		c.renew(serving, lease, term)
		stop()
	})
	c.Serve(serving, term, c.current)
	stop()
	renewing.Wait()
	c.release(lease)
	log.Info().Msg("ownership given up")
	c.Directory.Refresh()
}

// renew keeps the lease until it is known to have ended or ctx ends.
func (c *Candidate) renew(ctx context.Context, lease lovagestand.LeaseID, term jobstore.Term) {
	for pause.For(ctx, ownerTTL/renewals) {
		if c.Directory.Over(c.Shard, term.Epoch) {
			c.Log.Warn().Str("shard", c.Shard).Uint64("epoch", uint64(term.Epoch)).Msg("ownership lost: the directory shows its end")
			return
		}
		begun := time.Now()
		limited, cancel := context.WithTimeout(ctx, ownerTTL/2)
		err := c.Keys.Renew(limited, lease)
		cancel()
		var ended *lovagestand.LeaseEndedError
		if errors.As(err, &ended) {
			c.Log.Warn().Str("shard", c.Shard).Uint64("epoch", uint64(term.Epoch)).Msg("ownership lost: lease has ended")
			return
		}
		if err == nil {
			c.confirm(begun)
		}
	}
}

// Register keeps an instance listed in the directory until ctx ends, then
// takes it off.
func Register(ctx context.Context, keys lovagestand.Keyspace, d *Directory, self lovagestand.Instance, log zerolog.Logger) {
	value, err := json.Marshal(self)
	if err != nil {
		log.Error().Err(err).Msg("instance cannot be registered")
		return
	}
	var lease lovagestand.LeaseID
	for {
		if lease == 0 || d.Loaded() && !d.Member(self.ID) {
			lease = register(ctx, keys, self.ID, value, log)
		}
		if !pause.For(ctx, memberTTL/renewals) {
			break
		}
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := keys.Renew(limited, lease)
		cancel()
		var ended *lovagestand.LeaseEndedError
		if errors.As(err, &ended) {
			lease = 0
		}
	}
	if lease == 0 {
		return
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := keys.End(limited, lease); err != nil {
		log.Debug().Err(err).Msg("registration not ended, it will expire")
	}
}

func register(ctx context.Context, keys lovagestand.Keyspace, id lovagestand.InstanceID, value []byte, log zerolog.Logger) lovagestand.LeaseID {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, _, err := keys.Grant(limited, memberTTL)
	if err != nil {
		log.Warn().Err(err).Msg("instance not registered")
		return 0
	}
	_, err = keys.Commit(limited, lovagestand.Transaction{Set: []lovagestand.Write{{Key: MemberKey(id), Value: value, Lease: lease}}})
	if err != nil {
		log.Warn().Err(err).Msg("instance not registered")
		return 0
	}
	return lease
}
