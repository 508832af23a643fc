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
	// DefaultLinkDelay is the time between two regions one way.
	DefaultLinkDelay = 20 * time.Millisecond
	// maxSentTimes is the most placements remembered for one shard.
	maxSentTimes = 4096
	// noiseFactor is how much of the noise of another region's estimate its
	// saving must exceed.
	noiseFactor = 1.0
)

// CostAware stays in its region unless another is worth its cost. Within the
// region, and among the others, it takes the better of two candidates drawn at
// random, each corrected by what this entry has sent there since the digest
// was made. It is safe for concurrent use.
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

// destination is one pool in one shard.
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

// WithAnswerBytes sets how long the answers of each route are expected to be.
func WithAnswerBytes(answerBytes func(lovagestand.RouteName) int) Option {
	return func(w *CostAware) { w.answerBytes = answerBytes }
}

// WithEntryCount tells how many entries of the region send alike; each takes it
// that the others send as much as itself.
func WithEntryCount(entries func() int) Option {
	return func(w *CostAware) { w.entryCount = entries }
}

// WithRandom sets the source of the draws.
func WithRandom(random *rand.Rand) Option {
	return func(w *CostAware) { w.random = random }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(w *CostAware) { w.now = now }
}

// NewCostAware returns a chooser for an entry in a region.
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

// CostEstimate is what a candidate is expected to cost for one task.
type CostEstimate struct {
	Candidate Candidate
	// Wait is the expected wait in the shard, Link the time on the way there.
	Wait, Link time.Duration
	PaidBytes  int
	Cost       float64
	// Noise is by how much Wait may be off for the digest's age.
	Noise time.Duration
	free  float64
}

// String returns a in words.
func (a CostEstimate) String() string {
	return fmt.Sprintf("%s: wait %s, link %s, %d paid bytes, cost %.4g, digest %s old",
		a.Candidate.Shard, a.Wait.Round(time.Millisecond), a.Link, a.PaidBytes, a.Cost,
		a.Candidate.Age.Round(time.Millisecond))
}

// better reports whether a costs less than b, or as much with more room.
func (a CostEstimate) better(b CostEstimate) bool {
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	return a.free > b.free
}

// Choose implements [Chooser]. The chosen shard is taken to be sent the task.
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

// chooseUnrecorded chooses without taking the task to be sent. The caller holds the lock.
func (w *CostAware) chooseUnrecorded(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	local, remote := splitByRegion(w.localRegion, fit)
	chosen, reason := w.compareRegions(t, bodyBytes, local, remote)
	return chosen.Candidate, reason, nil
}

// compareRegions compares the best near candidate with the best far one.
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

// lowestCost returns the least cost among all candidates, so that an unlucky
// draw sends nothing away.
func (w *CostAware) lowestCost(t lovagestand.Task, bodyBytes int, candidates []*Candidate) float64 {
	lowest := math.Inf(1)
	for _, c := range candidates {
		lowest = min(lowest, w.estimateCost(t, bodyBytes, c).Cost)
	}
	return lowest
}

// betterOfTwo appraises two candidates drawn at random and returns the better.
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

// Explain appraises every candidate that can hold a task, cheapest first.
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

// recordSent notes that a task is sent somewhere now.
func (w *CostAware) recordSent(to destination) {
	sent := append(w.sentTimes[to], w.now())
	if len(sent) > maxSentTimes {
		sent = sent[len(sent)-maxSentTimes:]
	}
	w.sentTimes[to] = sent
}

// countSent counts the tasks sent somewhere within age, and forgets older
// ones.
func (w *CostAware) countSent(to destination, age time.Duration) int {
	since := w.now().Add(-age)
	sent := w.sentTimes[to]
	i, _ := slices.BinarySearchFunc(sent, since, time.Time.Compare)
	w.sentTimes[to] = sent[i:]
	return len(sent) - i
}
