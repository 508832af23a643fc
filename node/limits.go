package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/ingress"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/shard"
)

const (
	// The shares of the sockets for callers, other instances and readiness checks. The rest
	// is for connections of the instance's own, to the store, to workers and to others.
	callerSocketShare   = 0.4
	internalSocketShare = 0.2
	readySocketShare    = 0.02
	// ownerCallSocketShare is the share for the submissions that are passed on to owners at a
	// time, and as much for the queries.
	ownerCallSocketShare = 0.05

	// The shares of the memory for the connections themselves, of which each holds its
	// buffers and a goroutine.
	callerConnectionMemoryShare   = 0.15
	internalConnectionMemoryShare = 0.08

	// callerByteMemoryShare is the share of the memory for large requests of callers, from their
	// arrival to the reply.
	callerByteMemoryShare = 0.1
	// submissionMemoryShare is the share for large submissions that are decoded and passed on, and
	// internalByteMemoryShare that for large calls of other instances. Both take about five times
	// as much while they are processed.
	submissionMemoryShare   = 0.02
	internalByteMemoryShare = 0.02
	// minSubmissionBytes is the least room for each of the two: that of the largest
	// submissions, which grow on their way to the owner.
	minSubmissionBytes = 1 << 20
	// jobMemoryShare is the share of the memory for the jobs that owners keep.
	jobMemoryShare = 0.2
	// jobMemoryInterval is the time after which the memory of the other instances is compared
	// again.
	jobMemoryInterval = time.Second
)

// limits are the bounds of an instance that follow from its machine.
type limits struct {
	callerConnections, internalConnections, readyConnections int
	// callerBytes is the room for large requests of callers.
	callerBytes int64
	// submissionBytes is the room for those that are being processed, internalBytes that for
	// large calls of other instances.
	submissionBytes, internalBytes int64
	// ownerCalls is the number of submissions that are passed on to owners at a time, and
	// that of queries.
	ownerCalls int
}

// MarshalZerologObject implements [zerolog.LogObjectMarshaler].
func (l limits) MarshalZerologObject(e *zerolog.Event) {
	e.Int("callerConnections", l.callerConnections).Int("internalConnections", l.internalConnections).Int("readyConnections", l.readyConnections).
		Int64("callerBytes", l.callerBytes).Int64("submissionBytes", l.submissionBytes).Int64("internalBytes", l.internalBytes).Int("ownerCalls", l.ownerCalls)
}

func newLimits(memoryMiB int64, maxDescriptors int) limits {
	sockets := ingress.Sockets(maxDescriptors)
	memory := float64(memoryMiB << 20)
	return limits{
		callerConnections:   int(min(callerSocketShare*sockets, callerConnectionMemoryShare*memory/ingress.ConnectionBytes)),
		internalConnections: int(min(internalSocketShare*sockets, internalConnectionMemoryShare*memory/ingress.ConnectionBytes)),
		readyConnections:    max(1, int(readySocketShare*sockets)),
		callerBytes:         int64(callerByteMemoryShare * memory),
		submissionBytes:     max(minSubmissionBytes, int64(submissionMemoryShare*memory)),
		internalBytes:       max(minSubmissionBytes, int64(internalByteMemoryShare*memory)),
		ownerCalls:          int(ownerCallSocketShare * sockets),
	}
}

// jobMemory returns a function that returns the memory for the jobs of one shard. It is a part
// of that of the smallest instance, since any of them may be the next owner, of all shards.
func (n *Node) jobMemory(l layout.Layout) func() int64 {
	var mu sync.Mutex
	var limit int64
	var comparedAt time.Time
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.Sub(comparedAt) >= jobMemoryInterval {
			limit, comparedAt = jobMemoryOf(n.self, n.directory.Members(), l.Shards), now
		}
		return limit
	}
}

// jobMemoryOf returns the memory for the jobs of each of a number of shards.
func jobMemoryOf(self lovagestand.Instance, members []lovagestand.Instance, shards int) int64 {
	smallest := self.MemoryMiB
	for _, m := range members {
		if m.MemoryMiB > 0 {
			smallest = min(smallest, m.MemoryMiB)
		}
	}
	return max(shard.MinJobMemory, int64(jobMemoryShare*float64(smallest<<20))/int64(shards))
}
