package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/shares"
)

const (
	// listInterval is the time between two reads of the list of workers by the
	// owner of the only shard. With several shards each owner reads the whole
	// list, so the interval is multiplied by the number of shards, up to
	// maxListFactor, with which leaving workers are still noticed in time.
	listInterval  = 500 * time.Millisecond
	maxListFactor = 3
	// listTimeout is how long a read of the list may make no progress.
	listTimeout = 1500 * time.Millisecond
	// missedHeartbeats is how many heartbeats a worker must miss before the
	// platform removes its entry.
	missedHeartbeats = 3
	// loadRetryDelay is the pause after a failed attempt to load a shard that was
	// won.
	loadRetryDelay = 100 * time.Millisecond
	// loadTimeout is how long such an attempt may make no progress.
	loadTimeout = 3 * time.Second
)

// serveShard runs the shard for one term.
func (n *Node) serveShard(ctx context.Context, term jobstore.Term, confirmed func() bool) {
	l, ok := n.obtainLayout(ctx, term)
	if !ok {
		return
	}
	interval := listInterval * time.Duration(min(maxListFactor, l.Shards))
	store := jobstore.New(n.deps.Keys, term, jobstore.WithWriteFailureHandler(func() { go n.requestDepose(ctx, term) }))
	defer n.storeCalls.onServed(store.StoreAnswered)()
	deps := shard.Deps{
		Fleet: n.deps.Fleet, Store: store,
		AdviceClients: func() []shard.AdviceClient { return n.adviceClients(term.Shard) }, Confirmed: confirmed, Log: n.deps.Log,
		JobMemory: n.jobMemory(l),
		Assured:   n.candidate(term.Shard).Assured, Teams: n.routes.Teams, Services: n.routes.Services, Recorder: n.deps.Recorder,
	}
	if l.Shards > 1 {
		deps.DividedCaps, deps.Move, deps.Knows, deps.Load = true, n.moveJob, n.knowsJob, n.shardLoad
	}
	s := shard.New(term, shard.Limits{
		MaxLease: n.settings.MaxLease, Retention: n.settings.Retention, ListInterval: interval,
		HeartbeatTimeout: missedHeartbeats * n.settings.Heartbeat, CheckpointInterval: n.settings.CheckpointInterval,
		StopTimeout: n.settings.StopTimeout, RestoreDelay: n.settings.RestoreDelay, Overlap: election.Overlap, Preemption: n.settings.Preemption,
		UnevenWorkers: n.settings.UnevenWorkers == settings.UnevenAuto,
	}, deps)
	for {
		limited, cancel := lovagestand.WithStallTimeout(ctx, loadTimeout)
		err := s.Load(limited)
		cancel()
		if err == nil {
			break
		}
		n.deps.Log.Warn().Err(err).Msg("shard not loaded; trying again")
		if !pause.For(ctx, loadRetryDelay) {
			return
		}
	}
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() {
		n.pollWorkers(serveCtx, s, interval, l, term.Shard)
	})
	if l.Shards > 1 {
		running.Go(func() { n.holdShares(serveCtx, s, term, l) })
	}
	n.cell.addShard(term.Shard, s)
	s.Run(ctx)
	n.cell.removeShard(term.Shard)
	stop()
	running.Wait()
	if n.deps.CloseIdleConnections != nil {
		n.deps.CloseIdleConnections()
	}
}

// holdShares keeps the teams within their caps over all shards of the cell, until ctx
// ends.
func (n *Node) holdShares(ctx context.Context, s *shard.Shard, term jobstore.Term, l layout.Layout) {
	var names []lovagestand.ShardName
	for _, name := range l.ShardNames() {
		names = append(names, lovagestand.ShardName(name))
	}
	shares.New(shares.Deps{
		Store: platform.NewKeyspaceStore(n.deps.Keys), Shards: names, Shard: s, Name: lovagestand.ShardName(term.Shard), Epoch: term.Epoch, Log: n.deps.Log,
		Caps: func() (shares.Caps, bool) {
			teams, ok := n.routes.Teams()
			return teams.Caps(), ok
		},
	}).Run(ctx)
}

const (
	// deposeRequests is how many instances are asked to end an ownership.
	deposeRequests = 2
	// deposeTimeout bounds one such request.
	deposeTimeout = 400 * time.Millisecond
)

// requestDepose asks other instances to end an ownership of this instance, because
// writes of this instance to the store fail and those of others may succeed. If
// the store does not serve the other instances either, nothing changes.
func (n *Node) requestDepose(ctx context.Context, term jobstore.Term) {
	members := n.directory.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, m := range members {
		if m.ID == n.self.ID || asked == deposeRequests {
			continue
		}
		asked++
		limited, cancel := context.WithTimeout(ctx, deposeTimeout)
		_, err := n.peers.client(m.Address).Depose(limited, &cellpb.DeposeRequest{Shard: term.Shard, Epoch: uint64(term.Epoch)})
		cancel()
		n.deps.Log.Warn().Err(err).Str("shard", term.Shard).Uint64("epoch", uint64(term.Epoch)).Str("by", string(m.ID)).
			Msg("writes to the store fail: another instance was asked to end the ownership")
	}
}

// pollWorkers reads the list of workers until ctx ends, and passes it on to a shard,
// divided by the layout.
func (n *Node) pollWorkers(ctx context.Context, s *shard.Shard, interval time.Duration, l layout.Layout, name string) {
	healthy := true
	for {
		list, err := n.listWorkers(ctx)
		if (err == nil) != healthy && ctx.Err() == nil {
			healthy = err == nil
			n.deps.Log.Warn().Bool("healthy", healthy).Err(err).Msg("reads of the list of workers failed or recovered")
		}
		if err == nil {
			s.SetWorkers(divide(list, l, name))
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// maxIgnoredEntries bounds the entries of which it is remembered that they were logged.
const maxIgnoredEntries = 1000

// logIgnoredEntry logs an entry of the list of workers that is not used, once for each of
// its changes.
func (n *Node) logIgnoredEntry(i lovagestand.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ignoredEntries[i.Key] == i.Revision {
		return
	}
	if len(n.ignoredEntries) >= maxIgnoredEntries {
		clear(n.ignoredEntries)
	}
	n.ignoredEntries[i.Key] = i.Revision
	n.deps.Log.Warn().Str("key", i.Key).Uint64("revision", uint64(i.Revision)).Msg("entry does not describe a usable worker; ignored")
}

// divide returns a list in which the workers of the shards other than the named one are
// listed by shard.
func divide(list shard.WorkerList, l layout.Layout, name string) shard.WorkerList {
	workers := list.Workers
	list.Workers, list.OtherShards = nil, map[string][]lovagestand.FleetWorker{}
	for _, w := range workers {
		if other := l.ShardOfWorker(w); other != name {
			list.OtherShards[other] = append(list.OtherShards[other], w)
			continue
		}
		list.Workers = append(list.Workers, w)
	}
	return list
}

// listWorkers reads the list of registered workers.
func (n *Node) listWorkers(ctx context.Context) (shard.WorkerList, error) {
	list := shard.WorkerList{SentAt: time.Now()}
	limited, cancel := lovagestand.WithStallTimeout(ctx, listTimeout)
	defer cancel()
	items, _, err := n.deps.Keys.Range(limited, n.deps.WorkerPrefix)
	if err != nil {
		return list, err
	}
	for _, i := range items {
		w, ok := n.deps.DecodeWorker(i)
		if !ok {
			n.logIgnoredEntry(i)
			list.Undecodable = append(list.Undecodable, lovagestand.WorkerName(strings.TrimPrefix(i.Key, n.deps.WorkerPrefix)))
			continue
		}
		list.Workers = append(list.Workers, w)
	}
	return list, nil
}
