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
	// maxRemembered is the most placements remembered for one shard.
	maxRemembered = 4096
	// noiseFactor is how much of the noise of another region's estimate its
	// saving must exceed.
	noiseFactor = 1.0
)

// CostAware stays in its region unless another is worth its cost. Within the
// region, and among the others, it takes the better of two candidates drawn at
// random, each corrected by what this entry has sent there since the digest
// was made. It is safe for concurrent use.
type CostAware struct {
	region      lovagestand.RegionName
	links       Links
	weights     func(lovagestand.RouteName) Weights
	answerBytes func(lovagestand.RouteName) int
	entries     func() int
	now         func() time.Time

	mu     sync.Mutex
	random *rand.Rand
	sent   map[destination][]time.Time
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
	return func(w *CostAware) { w.entries = entries }
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
		region:      region,
		links:       UniformLinks(DefaultLinkDelay),
		weights:     func(lovagestand.RouteName) Weights { return DefaultWeights() },
		answerBytes: func(lovagestand.RouteName) int { return 0 },
		entries:     func() int { return 1 },
		now:         time.Now,
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		sent:        make(map[destination][]time.Time),
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
	chosen, reason, err := w.draw(t, bodyBytes, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	w.remember(destination{shard: chosen.Shard, pool: t.Pool})
	return chosen, reason, nil
}

// draw chooses without taking the task to be sent. The caller holds the lock.
func (w *CostAware) draw(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	near, far := split(w.region, fit)
	chosen, reason := w.weigh(t, bodyBytes, near, far)
	return chosen.Candidate, reason, nil
}

// weigh compares the best near candidate with the best far one.
func (w *CostAware) weigh(t lovagestand.Task, bodyBytes int, near, far []*Candidate) (CostEstimate, string) {
	if len(near) == 0 {
		chosen := w.twoChoices(t, bodyBytes, far)
		return chosen, "own region has no such worker; " + chosen.String()
	}
	best := w.twoChoices(t, bodyBytes, near)
	if len(far) == 0 || best.Wait == 0 {
		return best, "own region; " + best.String()
	}
	other := w.twoChoices(t, bodyBytes, far)
	doubt := w.weights(t.Route).cost(time.Duration(float64(other.Noise)*noiseFactor), 0)
	if other.Cost+doubt < w.cheapest(t, bodyBytes, near) {
		return other, fmt.Sprintf("saves %s of waiting; %s", (best.Wait - other.Wait).Round(time.Millisecond), other)
	}
	return best, "no other region is worth its cost; " + best.String()
}

// cheapest returns the least cost among all candidates, so that an unlucky
// draw sends nothing away.
func (w *CostAware) cheapest(t lovagestand.Task, bodyBytes int, candidates []*Candidate) float64 {
	least := math.Inf(1)
	for _, c := range candidates {
		least = min(least, w.appraise(t, bodyBytes, c).Cost)
	}
	return least
}

// twoChoices appraises two candidates drawn at random and returns the better.
func (w *CostAware) twoChoices(t lovagestand.Task, bodyBytes int, candidates []*Candidate) CostEstimate {
	i := w.random.IntN(len(candidates))
	first := w.appraise(t, bodyBytes, candidates[i])
	if len(candidates) == 1 {
		return first
	}
	j := w.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	second := w.appraise(t, bodyBytes, candidates[j])
	if second.better(first) {
		return second
	}
	return first
}

func (w *CostAware) appraise(t lovagestand.Task, bodyBytes int, c *Candidate) CostEstimate {
	e := estimateOf(t, c, w.entries()*w.sentSince(destination{shard: c.Shard, pool: t.Pool}, c.Age))
	a := CostEstimate{Candidate: *c, Wait: e.wait, Link: w.links.Delay(w.region, c.Region), Noise: e.noise, free: e.free}
	if c.Region != w.region {
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
	appraisals := make([]CostEstimate, 0, len(fit))
	for _, c := range fit {
		appraisals = append(appraisals, w.appraise(t, bodyBytes, c))
	}
	slices.SortStableFunc(appraisals, func(a, b CostEstimate) int {
		switch {
		case a.better(b):
			return -1
		case b.better(a):
			return 1
		default:
			return 0
		}
	})
	return appraisals, nil
}

// remember notes that a task is sent somewhere now.
func (w *CostAware) remember(to destination) {
	sent := append(w.sent[to], w.now())
	if len(sent) > maxRemembered {
		sent = sent[len(sent)-maxRemembered:]
	}
	w.sent[to] = sent
}

// sentSince counts the tasks sent somewhere within age, and forgets older
// ones.
func (w *CostAware) sentSince(to destination, age time.Duration) int {
	since := w.now().Add(-age)
	sent := w.sent[to]
	i, _ := slices.BinarySearchFunc(sent, since, time.Time.Compare)
	w.sent[to] = sent[i:]
	return len(sent) - i
}
