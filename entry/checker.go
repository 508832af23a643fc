package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/placer/placerpb"
)

const (
	// checkTimeout bounds one check of all instances.
	checkTimeout = time.Second
	// maxCheckTime is how long after the first check an inconclusive one is
	// repeated. It is less than the time for which callers usually wait.
	maxCheckTime = 2 * time.Second
	// checkPause is the pause after an inconclusive check. An owner that has just
	// followed another one reads the state of its workers in that time.
	checkPause = 100 * time.Millisecond
)

// checkResult is what a check finds out about a request.
type checkResult int

const (
	// checkInconclusive means that an instance or the owner of a shard could not
	// be reached or does not know yet.
	checkInconclusive checkResult = iota
	// checkClear means that the request is guaranteed not to have run, and not to
	// be processed by any other instance.
	checkClear
	// checkMayHaveRun means that the request may have run or be processed.
	checkMayHaveRun
)

// checker asks all instances whether requests may have run through another
// instance. Requests that arrive during a check are collected in a batch for the
// next one, so that overload does not multiply the number of calls.
type checker struct {
	deps    Deps
	clients *placerClients

	mu      sync.Mutex
	running bool
	next    *batch
}

// batch is the set of requests of one check.
type batch struct {
	keys    []string
	done    chan struct{}
	results []checkResult
}

func newBatch() *batch {
	return &batch{done: make(chan struct{})}
}

// clear reports whether the request is guaranteed not to have run and not to be
// processed by any instance other than this one. An inconclusive check is repeated
// until maxCheckTime has passed or startBy has come. clear returns false if the last
// check is inconclusive or ctx ends first.
func (c *checker) clear(ctx context.Context, key lovagestand.RequestKey, startBy time.Time) bool {
	repeatUntil := time.Now().Add(maxCheckTime)
	if startBy.Before(repeatUntil) {
		repeatUntil = startBy
	}
	for {
		result := c.check(ctx, key)
		if result == checkClear {
			return true
		}
		if result == checkMayHaveRun || !time.Now().Before(repeatUntil) || !pause.For(ctx, checkPause) {
			c.deps.Log.Info().Str("key", string(key)).Bool("conclusive", result == checkMayHaveRun).Msg("request may have run through another instance")
			return false
		}
	}
}

// check checks one request together with the others that wait.
func (c *checker) check(ctx context.Context, key lovagestand.RequestKey) checkResult {
	c.mu.Lock()
	if c.next == nil {
		c.next = newBatch()
	}
	pending := c.next
	index := len(pending.keys)
	pending.keys = append(pending.keys, string(key))
	if !c.running {
		c.running = true
		go c.runChecks()
	}
	c.mu.Unlock()
	select {
	case <-pending.done:
		return pending.results[index]
	case <-ctx.Done():
		return checkInconclusive
	}
}

// runChecks checks one batch after another until no request waits.
func (c *checker) runChecks() {
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		if current == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		current.results = c.checkAll(current.keys)
		close(current.done)
	}
}

// checkAll checks the keys at all instances in parallel. Its result has one
// element per key.
func (c *checker) checkAll(keys []string) []checkResult {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var mu sync.Mutex
	replies := make([]*placerpb.CheckReply, 0)
	var group errgroup.Group
	request := &placerpb.CheckRequest{Keys: keys, Asker: string(c.deps.Self)}
	for _, i := range c.deps.Peers() {
		group.Go(func() error {
			reply, err := c.clients.forAddress(i.Address).Check(ctx, request)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
			return nil
		})
	}
	complete := group.Wait() == nil && c.coversAllShards(replies)
	results := make([]checkResult, len(keys))
	for index := range keys {
		switch {
		case !allClear(replies, index):
			results[index] = checkMayHaveRun
		case complete:
			results[index] = checkClear
		}
	}
	return results
}

// coversAllShards reports whether the owners of all shards have replied and have
// read the state of their workers.
func (c *checker) coversAllShards(replies []*placerpb.CheckReply) bool {
	owned := make(map[string]bool)
	for _, r := range replies {
		if !r.GetComplete() {
			return false
		}
		for _, s := range r.GetShards() {
			owned[s] = true
		}
	}
	for _, s := range c.deps.Shards() {
		if !owned[string(s)] {
			return false
		}
	}
	return true
}

// allClear reports whether every reply clears the key at index.
func allClear(replies []*placerpb.CheckReply, index int) bool {
	for _, r := range replies {
		if index >= len(r.GetClear()) || !r.GetClear()[index] {
			return false
		}
	}
	return true
}
