package region

import (
	"math/rand/v2"

	lovagestand "lovagestand.example/lovagestand"
)

// Random chooses evenly among all candidates.
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
		if waiting(t, c) < waiting(t, best) {
			best = c
		}
	}
	return *best, "shortest queue", nil
}

func waiting(t lovagestand.Task, c *Candidate) (sum int) {
	p, _ := c.Pool(t.Pool)
	for _, n := range p.Waiting {
		sum += n
	}
	return sum
}

// LeastLoaded always chooses the candidate with the shortest expected wait, or
// the most free capacity, wherever it is.
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
		if estimateOf(t, c, 0).better(estimateOf(t, best, 0)) {
			best = c
		}
	}
	return best
}

// Nearest always stays in its region while that has a candidate.
type Nearest struct {
	region lovagestand.RegionName
}

// NewNearest returns a chooser for entries in a region.
func NewNearest(region lovagestand.RegionName) *Nearest {
	return &Nearest{region: region}
}

// Choose implements [Chooser].
func (n *Nearest) Choose(t lovagestand.Task, _ int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	near, far := split(n.region, fit)
	if len(near) > 0 {
		return *leastLoaded(t, near), "own region", nil
	}
	return *leastLoaded(t, far), "own region has no such worker", nil
}

// split separates the candidates of a region from the others.
func split(region lovagestand.RegionName, candidates []*Candidate) (near, far []*Candidate) {
	for _, c := range candidates {
		if c.Region == region {
			near = append(near, c)
			continue
		}
		far = append(far, c)
	}
	return near, far
}
