package region

import (
	"math/rand/v2"

	lovagestand "lovagestand.example/lovagestand"
)

// Random chooses among all candidates with equal probability.
type Random struct {
	random *rand.Rand
}

// NewRandom returns a random chooser.
func NewRandom(random *rand.Rand) *Random {
	return &Random{random: random}
}

// Choose implements [Chooser].
func (r *Random) Choose(t lovagestand.Task, _ int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	return *fit[r.random.IntN(len(fit))], "by chance", nil
}

// LeastQueue chooses the candidate with the fewest waiting tasks.
type LeastQueue struct{}

// Choose implements [Chooser].
func (LeastQueue) Choose(t lovagestand.Task, _ int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	best := fit[0]
	for _, c := range fit[1:] {
		if waitingCount(t, c) < waitingCount(t, best) {
			best = c
		}
	}
	return *best, "shortest queue", nil
}

func waitingCount(t lovagestand.Task, c *Candidate) (sum int) {
	p, _ := c.Pool(t.Pool)
	for _, n := range p.Waiting {
		sum += n
	}
	return sum
}

// LeastLoaded chooses the candidate with the shortest expected wait, in any
// region. If the waits are equal, it chooses the one with more free capacity.
type LeastLoaded struct{}

// Choose implements [Chooser].
func (LeastLoaded) Choose(t lovagestand.Task, _ int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	return *leastLoaded(t, fit), "least loaded", nil
}

func leastLoaded(t lovagestand.Task, fit []*Candidate) *Candidate {
	best := fit[0]
	for _, c := range fit[1:] {
		if estimateWait(t, c, 0).better(estimateWait(t, best, 0)) {
			best = c
		}
	}
	return best
}

// Nearest chooses the least loaded candidate in its own region, and one in
// another region only if its own has none.
type Nearest struct {
	localRegion lovagestand.RegionName
}

// NewNearest returns a chooser for entries in a region.
func NewNearest(region lovagestand.RegionName) *Nearest {
	return &Nearest{localRegion: region}
}

// Choose implements [Chooser].
func (n *Nearest) Choose(t lovagestand.Task, _ int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	local, remote := splitByRegion(n.localRegion, fit)
	if len(local) > 0 {
		return *leastLoaded(t, local), "own region", nil
	}
	return *leastLoaded(t, remote), "own region has no such worker", nil
}

// splitByRegion returns the candidates in a region and those in other regions.
func splitByRegion(region lovagestand.RegionName, candidates []*Candidate) (local, remote []*Candidate) {
	for _, c := range candidates {
		if c.Region == region {
			local = append(local, c)
			continue
		}
		remote = append(remote, c)
	}
	return local, remote
}
