package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/shard"
)

const (
	// listInterval spaces readings of the list of workers by an owner; as all
	// owners read all of it, it is that many times longer for several shards,
	// up to maxListFactor times, which still notices leaving workers in time.
	listInterval  = 500 * time.Millisecond
	maxListFactor = 3
	// listTimeout bounds one reading.
	listTimeout = 1500 * time.Millisecond
	// silentBeats is how many heartbeats a worker misses before the platform
	// takes its entry away.
	silentBeats = 3
	// loadRetry spaces attempts to load a shard that was won.
	loadRetry = 100 * time.Millisecond
	// loadTimeout bounds one attempt.
	loadTimeout = 3 * time.Second
)

// serveShard runs the shard for one term.
func (n *Node) serveShard(ctx context.Context, term jobstore.Term, confirmed func() bool) {
	l, ok := n.settleLayout(ctx, term)
	if !ok {
		return
	}
	interval := listInterval * time.Duration(min(maxListFactor, l.Shards))
	s := shard.New(term, shard.Limits{
		MaxLease: n.settings.MaxLease, Retention: n.settings.Retention, ListInterval: interval,
		HeartbeatTimeout: silentBeats * n.settings.Heartbeat, CheckpointInterval: n.settings.CheckpointInterval,
		Overlap: election.Overlap,
	}, shard.Deps{
		Fleet: n.deps.Fleet, Store: jobstore.New(n.deps.Keys, term, jobstore.WithTrouble(func() { go n.askToDepose(ctx, term) })),
		AdviceClients: func() []shard.AdviceClient { return n.lines(term.Shard) }, Confirmed: confirmed, Log: n.deps.Log,
		Assured: n.candidate(term.Shard).Assured, Recorder: n.deps.Recorder,
	})
	for {
		limited, cancel := context.WithTimeout(ctx, loadTimeout)
		err := s.Load(limited)
		cancel()
		if err == nil {
			break
		}
		n.deps.Log.Warn().Err(err).Msg("shard not loaded")
		if !pause.For(ctx, loadRetry) {
			return
		}
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() {
		n.followWorkers(serving, s, interval, func(w lovagestand.FleetWorker) bool { return l.Worker(w) == term.Shard })
	})
	n.cell.own(term.Shard, s)
	s.Run(ctx)
	n.cell.disown(term.Shard)
	stop()
	running.Wait()
}

const (
	// deposers is how many instances are asked to end an ownership.
	deposers = 2
	// deposeTimeout bounds one such call.
	deposeTimeout = 400 * time.Millisecond
)

// askToDepose asks other instances to end this instance's own ownership: the
// store turns this one away, and may serve others. Where it serves nobody,
// nothing changes.
func (n *Node) askToDepose(ctx context.Context, term jobstore.Term) {
	members := n.directory.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, m := range members {
		if m.ID == n.self.ID || asked == deposers {
			continue
		}
		asked++
		limited, cancel := context.WithTimeout(ctx, deposeTimeout)
		_, err := n.peers.at(m.Address).Depose(limited, &cellpb.DeposeRequest{Shard: term.Shard, Epoch: uint64(term.Epoch)})
		cancel()
		n.deps.Log.Warn().Err(err).Str("shard", term.Shard).Uint64("epoch", uint64(term.Epoch)).Str("by", string(m.ID)).
			Msg("store turns this owner away: another instance is asked to end the ownership")
	}
}

// followWorkers reads the list of workers for as long as the shard is owned,
// and gives the shard those of its own.
func (n *Node) followWorkers(ctx context.Context, s *shard.Shard, interval time.Duration, own func(lovagestand.FleetWorker) bool) {
	healthy := true
	for {
		workers, err := n.listWorkers(ctx)
		if (err == nil) != healthy && ctx.Err() == nil {
			healthy = err == nil
			n.deps.Log.Warn().Bool("healthy", healthy).Err(err).Msg("list of workers")
		}
		if err == nil {
			s.SetWorkers(slices.DeleteFunc(workers, func(w lovagestand.FleetWorker) bool { return !own(w) }))
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// listWorkers reads the list of registered workers.
func (n *Node) listWorkers(ctx context.Context) ([]lovagestand.FleetWorker, error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := n.deps.Keys.Range(limited, n.deps.WorkerPrefix)
	if err != nil {
		return nil, err
	}
	var workers []lovagestand.FleetWorker
	for _, i := range items {
		w, ok := n.deps.DecodeWorker(i)
		if !ok {
			n.deps.Log.Warn().Str("key", i.Key).Uint64("revision", uint64(revision)).Msg("entry names no worker to use")
			continue
		}
		workers = append(workers, w)
	}
	return workers, nil
}
