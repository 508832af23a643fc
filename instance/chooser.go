package instance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/peer"
)

// noOwnerRetryAfter is when a caller may come back while no shard has an owner.
const noOwnerRetryAfter = 2 * time.Second

// chooser chooses among the owners of a pool's shards by their digests.
type chooser struct {
	self  lovagestand.Instance
	peers *peer.Peer
}

// Choose implements [entry.Chooser].
func (h *chooser) Choose(task lovagestand.Task, _ int, tried []lovagestand.ShardName) (entry.Target, error) {
	left := make(map[lovagestand.ShardName]bool)
	for _, s := range tried {
		left[s] = true
	}
	var largest lovagestand.Resources
	var best peer.DigestView
	var bestWait time.Duration
	fits, found := false, false
	views := h.peers.Digests(task.Pool)
	for _, v := range views {
		d := poolDigest(v.Digest, task.Pool)
		largest = larger(largest, d.LargestCapacity)
		if !task.Resources.Fits(d.LargestCapacity) {
			continue
		}
		fits = true
		if left[v.Digest.Shard] {
			continue
		}
		wait := d.Wait[task.Class] + time.Duration(rand.Int64N(int64(time.Millisecond)))
		if !h.near(v.Digest.Shard) {
			wait += 100 * time.Millisecond
		}
		if !found || wait < bestWait {
			best, bestWait, found = v, wait, true
		}
	}
	switch {
	case len(views) > 0 && !fits:
		return entry.Target{}, &lovagestand.UnfitError{Pool: task.Pool, Asked: task.Resources, Largest: largest, Reason: fmt.Sprintf("asked %s, the largest worker has %s", task.Resources, largest)}
	case !found:
		return entry.Target{}, &entry.NoTargetError{Pool: task.Pool, Reason: "no shard is left to try", RetryAfter: noOwnerRetryAfter}
	}
	return entry.Target{Shard: best.Digest.Shard, Reason: fmt.Sprintf("expected wait %v", bestWait)}, nil
}

func (h *chooser) near(shard lovagestand.ShardName) bool {
	prefix := string(h.self.Region) + "/"
	return len(shard) > len(prefix) && string(shard[:len(prefix)]) == prefix
}

func poolDigest(d lovagestand.Digest, pool lovagestand.PoolName) lovagestand.PoolDigest {
	for _, p := range d.Pools {
		if p.Pool == pool {
			return p
		}
	}
	return lovagestand.PoolDigest{}
}

func larger(a, b lovagestand.Resources) lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
