package dispatch

import "time"

// Work describes the remaining work and the age of a job.
type Work struct {
	Priority int
	// Age is the time since the job was accepted.
	Age time.Duration
	// Objective is the age at which the job should be done.
	Objective time.Duration
	// LatestObjective is the objective if the run times are as much longer than estimated
	// as they often are on the job's route.
	LatestObjective time.Duration
	// CriticalPath is the longest chain of dependent run times not done yet.
	CriticalPath time.Duration
	// Total and Remaining are the core time of the whole job and of its remaining
	// work. Mean is the mean total on the job's route.
	Total, Remaining, Mean time.Duration
}

const (
	// fixedShare is the fraction of a job's value that is independent of its size.
	fixedShare = 0.3
	// maxSizeRatio is the multiple of its route's mean total up to which a larger
	// job has a higher value.
	maxSizeRatio = 4
	// lateShare is the fraction of its value that a job keeps after its objective,
	// until lateLimit times the objective.
	lateShare = 0.2
	lateLimit = 3
	// expiredShare is the fraction that remains after that, so that jobs too late
	// to be of use still run, behind all others.
	expiredShare = 0.01
	// minCoreTime is the least core time by which a score is divided, so that the
	// last short tasks of a job do not get an unbounded score.
	minCoreTime = 100 * time.Millisecond
)

// priorityWeights are the factors by which priorities scale a job's value, indexed
// by priority. Any other priority has the factor 1.
var priorityWeights = []float64{4, 1.3}

// Score returns the value that a job still yields for each core second of its
// remaining work.
func Score(w Work) float64 {
	return w.value() * timeliness(w) / max(w.Remaining, minCoreTime).Seconds()
}

// value returns the value of a job that ends within its objective, in core seconds of
// work of the least urgent priority.
func (w Work) value() float64 {
	mean := max(w.Mean, minCoreTime)
	size := min(float64(w.Total)/float64(mean), maxSizeRatio)
	value := (fixedShare + (1-fixedShare)*size) * mean.Seconds()
	return value * w.weight()
}

// weight returns the factor by which the priority scales a job's value.
func (w Work) weight() float64 {
	if w.Priority >= 0 && w.Priority < len(priorityWeights) {
		return priorityWeights[w.Priority]
	}
	return 1
}

// delayedBy returns w as it would be after a further delay.
func (w Work) delayedBy(d time.Duration) Work {
	w.Age += d
	return w
}

// Expired reports whether the job is too late to be of use even if it runs without
// further delay, and even if its run times are underestimated.
func (w Work) Expired() bool {
	return w.Age+w.CriticalPath > lateLimit*w.LatestObjective
}

// timeliness returns the fraction of its value that a job keeps if it runs without
// further delay.
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
