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
	return func(w *CostAware) { w.links = links }
}

// WithWeights sets the weights of each route.
func WithWeights(weights func(lovagestand.RouteName) Weights) Option {
	return func(w *CostAware) { w.weights = weights }
}

// WithAnswerBytes sets the expected answer size in bytes of each route.
func WithAnswerBytes(answerBytes func(lovagestand.RouteName) int) Option {
	return func(w *CostAware) { w.answerBytes = answerBytes }
}

// WithEntryCount sets the number of entries in the region. Each entry assumes
// that every other one sends as many tasks as itself.
func WithEntryCount(entries func() int) Option {
	return func(w *CostAware) { w.entryCount = entries }
}

// WithRandom sets the source of random numbers for drawing candidates.
func WithRandom(random *rand.Rand) Option {
	return func(w *CostAware) { w.random = random }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(w *CostAware) { w.now = now }
}

// NewCostAware returns a cost-aware chooser for an entry in a region.
func NewCostAware(region lovagestand.RegionName, options ...Option) *CostAware {
	w := &CostAware{
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
		o(w)
	}
	return w
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
func (w *CostAware) Choose(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen, reason, err := w.chooseUnrecorded(t, bodyBytes, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	w.recordSent(destination{shard: chosen.Shard, pool: t.Pool})
	return chosen, reason, nil
}

// chooseUnrecorded chooses without counting the task as sent. The caller holds
// the lock.
func (w *CostAware) chooseUnrecorded(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	local, remote := splitByRegion(w.localRegion, fit)
	chosen, reason := w.compareRegions(t, bodyBytes, local, remote)
	return chosen.Candidate, reason, nil
}

// compareRegions returns the remote candidate if it costs less than every local
// one, even after adding the cost of its uncertainty, and otherwise the local
// candidate. If the local candidate has no wait, no remote one is considered.
func (w *CostAware) compareRegions(t lovagestand.Task, bodyBytes int, local, remote []*Candidate) (CostEstimate, string) {
	if len(local) == 0 {
		chosen := w.betterOfTwo(t, bodyBytes, remote)
		return chosen, "own region has no such worker; " + chosen.String()
	}
	bestLocal := w.betterOfTwo(t, bodyBytes, local)
	if len(remote) == 0 || bestLocal.Wait == 0 {
		return bestLocal, "own region; " + bestLocal.String()
	}
	bestRemote := w.betterOfTwo(t, bodyBytes, remote)
	uncertaintyCost := w.weights(t.Route).cost(time.Duration(float64(bestRemote.Noise)*noiseFactor), 0)
	if bestRemote.Cost+uncertaintyCost < w.lowestCost(t, bodyBytes, local) {
		return bestRemote, fmt.Sprintf("saves %s of waiting; %s", (bestLocal.Wait - bestRemote.Wait).Round(time.Millisecond), bestRemote)
	}
	return bestLocal, "no other region is worth its cost; " + bestLocal.String()
}

// lowestCost returns the lowest cost among all candidates. Comparing with it,
// and not with the drawn candidate, keeps an unlucky draw from sending a task to
// another region.
func (w *CostAware) lowestCost(t lovagestand.Task, bodyBytes int, candidates []*Candidate) float64 {
	lowest := math.Inf(1)
	for _, c := range candidates {
		lowest = min(lowest, w.estimateCost(t, bodyBytes, c).Cost)
	}
	return lowest
}

// betterOfTwo estimates the cost of two candidates drawn at random and returns
// the better estimate.
func (w *CostAware) betterOfTwo(t lovagestand.Task, bodyBytes int, candidates []*Candidate) CostEstimate {
	i := w.random.IntN(len(candidates))
	first := w.estimateCost(t, bodyBytes, candidates[i])
	if len(candidates) == 1 {
		return first
	}
	j := w.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	second := w.estimateCost(t, bodyBytes, candidates[j])
	if second.better(first) {
		return second
	}
	return first
}

func (w *CostAware) estimateCost(t lovagestand.Task, bodyBytes int, c *Candidate) CostEstimate {
	e := estimateWait(t, c, w.entryCount()*w.countSent(destination{shard: c.Shard, pool: t.Pool}, c.Age))
	a := CostEstimate{Candidate: *c, Wait: e.wait, Link: w.links.Delay(w.localRegion, c.Region), Noise: e.noise, free: e.free}
	if c.Region != w.localRegion {
		a.PaidBytes = bodyBytes + w.answerBytes(t.Route)
	}
	a.Cost = w.weights(t.Route).cost(a.Wait+a.Link, a.PaidBytes)
	return a
}

// Explain returns the estimates of all candidates that can run a task, lowest
// cost first.
func (w *CostAware) Explain(t lovagestand.Task, bodyBytes int, candidates []Candidate) ([]CostEstimate, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	estimates := make([]CostEstimate, 0, len(fit))
	for _, c := range fit {
		estimates = append(estimates, w.estimateCost(t, bodyBytes, c))
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
func (w *CostAware) recordSent(to destination) {
	sent := append(w.sentTimes[to], w.now())
	if len(sent) > maxSentTimes {
		sent = sent[len(sent)-maxSentTimes:]
	}
	w.sentTimes[to] = sent
}

// countSent returns the number of tasks sent to a destination within age, and
// removes older ones.
func (w *CostAware) countSent(to destination, age time.Duration) int {
	since := w.now().Add(-age)
	sent := w.sentTimes[to]
	i, _ := slices.BinarySearchFunc(sent, since, time.Time.Compare)
	w.sentTimes[to] = sent[i:]
	return len(sent) - i
}
