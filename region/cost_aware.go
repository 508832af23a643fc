package region

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

const (
	// DefaultLinkDelay is the default one-way delay between two regions.
	DefaultLinkDelay = 20 * time.Millisecond
	// maxSentTimes is the maximum number of send times stored for one pool of a
	// shard.
	maxSentTimes = 4096
	// noiseFactor scales the uncertainty of the wait estimated for another
	// region. The cost saved must exceed the cost of that uncertainty.
	noiseFactor = 1.0
)

// CostAware chooses a shard in its own region unless one in another region has
// a lower cost. In its own region, and among the other regions, it compares two
// candidates drawn at random and takes the one with the lower cost. The
// estimates include the tasks that this entry has sent since the digest was
// made. It is safe for concurrent use.
type CostAware struct {
	localRegion lovagestand.RegionName
	links       Links
	weights     func(lovagestand.RouteName) Weights
	answerBytes func(lovagestand.RouteName) int
	entryCount  func() int
	now         func() time.Time

	mu        sync.Mutex
	random    *rand.Rand
	sentTimes map[destination][]time.Time
}

// destination identifies one pool in one shard.
type destination struct {
	shard lovagestand.ShardName
	pool  lovagestand.PoolName
}

// Option configures a [CostAware].
type Option func(*CostAware)

// WithLinks sets the delays between regions.
func WithLinks(links Links) Option {
	return func(c *CostAware) { c.links = links }
}

// WithWeights sets the weights of each route.
func WithWeights(weights func(lovagestand.RouteName) Weights) Option {
	return func(c *CostAware) { c.weights = weights }
}

// WithAnswerBytes sets the expected answer size in bytes of each route.
func WithAnswerBytes(answerBytes func(lovagestand.RouteName) int) Option {
	return func(c *CostAware) { c.answerBytes = answerBytes }
}

// WithEntryCount sets the number of entries in the region. Each entry assumes
// that every other one sends as many tasks as itself.
func WithEntryCount(entries func() int) Option {
	return func(c *CostAware) { c.entryCount = entries }
}

// WithRandom sets the source of random numbers for drawing candidates.
func WithRandom(random *rand.Rand) Option {
	return func(c *CostAware) { c.random = random }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(c *CostAware) { c.now = now }
}

// NewCostAware returns a cost-aware chooser for an entry in a region.
func NewCostAware(region lovagestand.RegionName, options ...Option) *CostAware {
	c := &CostAware{
		localRegion: region,
		links:       UniformLinks(DefaultLinkDelay),
		weights:     func(lovagestand.RouteName) Weights { return DefaultWeights() },
		answerBytes: func(lovagestand.RouteName) int { return 0 },
		entryCount:  func() int { return 1 },
		now:         time.Now,
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		sentTimes:   make(map[destination][]time.Time),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// CostEstimate is the expected cost of sending one task to a candidate.
type CostEstimate struct {
	Candidate Candidate
	// Wait is the expected wait in the shard, Link the one-way delay to it.
	Wait, Link time.Duration
	PaidBytes  int
	Cost       float64
	// Noise is the uncertainty of Wait due to the age of the digest.
	Noise time.Duration
	free  float64
}

// String describes the estimate in one line.
func (a CostEstimate) String() string {
	return fmt.Sprintf("%s: wait %s, link %s, %d paid bytes, cost %.4g, digest %s old",
		a.Candidate.Shard, a.Wait.Round(time.Millisecond), a.Link, a.PaidBytes, a.Cost,
		a.Candidate.Age.Round(time.Millisecond))
}

// better reports whether a costs less than b, or the same with more free
// capacity.
func (a CostEstimate) better(b CostEstimate) bool {
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	return a.free > b.free
}

// Choose implements [Chooser]. It counts the task as sent to the chosen shard.
func (c *CostAware) Choose(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, reason, err := c.chooseUnrecorded(t, bodyBytes, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	c.recordSent(destination{shard: chosen.Shard, pool: t.Pool})
	return chosen, reason, nil
}

// chooseUnrecorded chooses without counting the task as sent. The caller holds
// the lock.
func (c *CostAware) chooseUnrecorded(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	local, remote := splitByRegion(c.localRegion, fit)
	chosen, reason := c.compareRegions(t, bodyBytes, local, remote)
	return chosen.Candidate, reason, nil
}

// compareRegions returns the remote candidate if it costs less than every local
// one, even after adding the cost of its uncertainty, and otherwise the local
// candidate. If the local candidate has no wait, no remote one is considered.
func (c *CostAware) compareRegions(t lovagestand.Task, bodyBytes int, local, remote []*Candidate) (CostEstimate, string) {
	if len(local) == 0 {
		chosen := c.betterOfTwo(t, bodyBytes, remote)
		return chosen, "own region has no such worker; " + chosen.String()
	}
	bestLocal := c.betterOfTwo(t, bodyBytes, local)
	if len(remote) == 0 || bestLocal.Wait == 0 {
		return bestLocal, "own region; " + bestLocal.String()
	}
	bestRemote := c.betterOfTwo(t, bodyBytes, remote)
	uncertaintyCost := c.weights(t.Route).cost(time.Duration(float64(bestRemote.Noise)*noiseFactor), 0)
	if bestRemote.Cost+uncertaintyCost < c.lowestCost(t, bodyBytes, local) {
		return bestRemote, fmt.Sprintf("saves %s of waiting; %s", (bestLocal.Wait - bestRemote.Wait).Round(time.Millisecond), bestRemote)
	}
	return bestLocal, "no other region is worth its cost; " + bestLocal.String()
}

// lowestCost returns the lowest cost among all candidates. Comparing with it,
// and not with the drawn candidate, keeps an unlucky draw from sending a task to
// another region.
func (c *CostAware) lowestCost(t lovagestand.Task, bodyBytes int, candidates []*Candidate) float64 {
	lowest := math.Inf(1)
	for _, candidate := range candidates {
		lowest = min(lowest, c.estimateCost(t, bodyBytes, candidate).Cost)
	}
	return lowest
}

// betterOfTwo estimates the cost of two candidates drawn at random and returns
// the better estimate.
func (c *CostAware) betterOfTwo(t lovagestand.Task, bodyBytes int, candidates []*Candidate) CostEstimate {
	i := c.random.IntN(len(candidates))
	first := c.estimateCost(t, bodyBytes, candidates[i])
	if len(candidates) == 1 {
		return first
	}
	j := c.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	second := c.estimateCost(t, bodyBytes, candidates[j])
	if second.better(first) {
		return second
	}
	return first
}

func (c *CostAware) estimateCost(t lovagestand.Task, bodyBytes int, candidate *Candidate) CostEstimate {
	e := estimateWait(t, candidate, c.entryCount()*c.countSent(destination{shard: candidate.Shard, pool: t.Pool}, candidate.Age))
	a := CostEstimate{Candidate: *candidate, Wait: e.wait, Link: c.links.Delay(c.localRegion, candidate.Region), Noise: e.noise, free: e.free}
	if candidate.Region != c.localRegion {
		a.PaidBytes = bodyBytes + c.answerBytes(t.Route)
	}
	a.Cost = c.weights(t.Route).cost(a.Wait+a.Link, a.PaidBytes)
	return a
}

// Explain returns the estimates of all candidates that can run a task, lowest
// cost first.
func (c *CostAware) Explain(t lovagestand.Task, bodyBytes int, candidates []Candidate) ([]CostEstimate, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	estimates := make([]CostEstimate, 0, len(fit))
	for _, candidate := range fit {
		estimates = append(estimates, c.estimateCost(t, bodyBytes, candidate))
	}
	slices.SortStableFunc(estimates, func(a, b CostEstimate) int {
		switch {
		case a.better(b):
			return -1
		case b.better(a):
			return 1
		default:
			return 0
		}
	})
	return estimates, nil
}

// recordSent records that a task is sent to a destination at this time.
func (c *CostAware) recordSent(to destination) {
	sent := append(c.sentTimes[to], c.now())
	if len(sent) > maxSentTimes {
		sent = sent[len(sent)-maxSentTimes:]
	}
	c.sentTimes[to] = sent
}

// countSent returns the number of tasks sent to a destination within age, and
// removes older ones.
func (c *CostAware) countSent(to destination, age time.Duration) int {
	since := c.now().Add(-age)
	sent := c.sentTimes[to]
	i, _ := slices.BinarySearchFunc(sent, since, time.Time.Compare)
	c.sentTimes[to] = sent[i:]
	return len(sent) - i
}
