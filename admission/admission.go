package admission

import (
	"math"
	"time"
)

const (
	// lateLimit is the multiple of its objective after which a job is of no use.
	lateLimit = 3
	// pathError is the factor by which the run time of a job may exceed its estimate.
	// Estimates are off by up to 90%, and owners halve the error by the averages of
	// routes.
	pathError = 2
	// sumError is the factor by which the work of many jobs may be overestimated.
	sumError = 1.25
	// minUse is the fraction of the capacity that is in use when jobs may be rejected.
	minUse = 0.5
	// minRetryAfter and maxRetryAfter bound the time after which a caller tries again. A
	// shorter one than a second cannot be expressed in the reply.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Load is the state of a shard that a decision needs.
type Load struct {
	// Use is the fraction of the capacity that is in use, by the resource of which most
	// is.
	Use float64
	// Idle indicates that some worker has room for a task of the job.
	Idle bool
	// All is the backlog of all teams, and Team that of the job's team.
	All, Team *Backlog
	// TeamShare is the largest fraction of the capacity that the job's team gets before
	// the demand of others.
	TeamShare float64
}

// Job is what a decision needs of a new job.
type Job struct {
	Score float64
	// Age is the time since the caller's first attempt, as far as it is known.
	Age time.Duration
	// CriticalPath is the expected run time without waiting. The objective is Stretch
	// times that, plus Target.
	CriticalPath time.Duration
	Stretch      float64
	Target       time.Duration
	// Hash spreads the times after which callers try again.
	Hash uint64
}

// Decision is the decision about a job.
type Decision struct {
	Rejected bool
	// Wait is the shortest time that the job is expected to wait, and Slack the longest
	// wait with which it is still of use.
	Wait, Slack time.Duration
	// RetryAfter is the time after which a rejected caller should try again.
	RetryAfter time.Duration
}

// Decide rejects a job that cannot end within three times its objective even if the work
// ahead is shorter, and its own objective longer, than estimated.
//
// The wait is the shorter of two: the work of all teams ahead at the rate of the whole
// capacity, and the work of the job's own team ahead at the rate of its entitlement. So a
// team whose own work is within its entitlement is not rejected because of others.
func Decide(l Load, j Job) Decision {
	expected := min(l.All.Ahead(j.Score), divide(l.Team.Ahead(j.Score), l.TeamShare))
	wait := expected / sumError
	path := pathError * j.CriticalPath.Seconds()
	slack := lateLimit*(j.Stretch*path+j.Target.Seconds()) - path - j.Age.Seconds()
	d := Decision{Wait: seconds(wait), Slack: seconds(max(slack, 0))}
	if l.Idle || l.Use < minUse || wait == 0 || wait <= slack {
		return d
	}
	d.Rejected = true
	d.RetryAfter = retryAfter(expected-sumError*max(slack, 0), j.Hash)
	return d
}

func divide(work, rate float64) float64 {
	if work == 0 {
		return 0
	}
	if rate <= 0 {
		return math.Inf(1)
	}
	return work / rate
}

// retryAfter returns a time from when the backlog is expected to be short enough, spread
// over the same time again so that rejected callers do not return together.
func retryAfter(excess float64, hash uint64) time.Duration {
	return Spread(min(max(seconds(excess), minRetryAfter), maxRetryAfter/2), hash)
}

// Spread returns a time between base and twice as long, by a hash.
func Spread(base time.Duration, hash uint64) time.Duration {
	return base + time.Duration(float64(base)*float64(hash>>11)/(1<<53))
}

// seconds returns a duration of at most a day.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 24*time.Hour.Seconds()) * float64(time.Second))
}
