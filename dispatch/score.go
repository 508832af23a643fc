package dispatch

import "time"

// Work is what a job still needs and how long it has waited.
type Work struct {
	Priority int
	// Age is the time since the job was accepted.
	Age time.Duration
	// Objective is when, after acceptance, the job should be done.
	Objective time.Duration
	// CriticalPath is the longest chain of run times not done yet.
	CriticalPath time.Duration
	// Total and Remaining are core time of the whole job and of what is left;
	// Mean is the usual total on the job's route.
	Total, Remaining, Mean time.Duration
}

const (
	// fixedShare is the part of a job's worth that does not grow with its work.
	fixedShare = 0.3
	// maxSizeRatio bounds a job's worth to so many times its route's mean.
	maxSizeRatio = 4
	// lateShare is what a job is worth after its objective, until lateLimit
	// times the objective.
	lateShare = 0.2
	lateLimit = 3
	// expiredShare keeps jobs that are past any use in line behind the rest.
	expiredShare = 0.01
	// minCoreTime keeps the last short tasks of a job from an unbounded score.
	minCoreTime = 100 * time.Millisecond
)

// priorityWeights rank a core second of each priority; later ones count as 1.
var priorityWeights = []float64{4, 1.3}

// Score returns the worth still to be had for each second of a core.
func Score(w Work) float64 {
	mean := max(w.Mean, minCoreTime)
	size := min(float64(w.Total)/float64(mean), maxSizeRatio)
	value := (fixedShare + (1-fixedShare)*size) * mean.Seconds()
	if w.Priority >= 0 && w.Priority < len(priorityWeights) {
		value *= priorityWeights[w.Priority]
	}
	return value * timeliness(w) / max(w.Remaining, minCoreTime).Seconds()
}

func timeliness(w Work) float64 {
	finish := w.Age + w.CriticalPath
	switch {
	case finish <= w.Objective:
		return 1
	case finish <= lateLimit*w.Objective:
		return lateShare
	}
	return expiredShare
}
