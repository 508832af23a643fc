package queue

import (
	"math/bits"
	"time"
)

// RunTimes estimates how long the tasks of a route run. It is a histogram with
// four buckets for each doubling of the run time, in which the weight of old
// samples decays. The zero value has no samples.
type RunTimes struct {
	counts  [runTimeBuckets]uint16
	samples uint32
}

const (
	// runTimeResolution is the width of the narrowest buckets.
	runTimeResolution = time.Millisecond
	// runTimeBuckets is the number of buckets. They reach past 198 days.
	runTimeBuckets = 128
	// maxSamples is the number of samples at which all counts are halved.
	maxSamples = 512
)

// Add adds a sample.
func (r *RunTimes) Add(ran time.Duration) {
	r.counts[bucketOf(ran)]++
	r.samples++
	if r.samples < maxSamples {
		return
	}
	r.samples = 0
	for i := range r.counts {
		r.counts[i] /= 2
		r.samples += uint32(r.counts[i])
	}
}

// Samples returns the number of samples, after decay.
func (r *RunTimes) Samples() int {
	return int(r.samples)
}

// Quantile returns a run time that at least the fraction q of the samples did not
// exceed, and 0 if there are no samples.
func (r *RunTimes) Quantile(q float64) time.Duration {
	if r.samples == 0 {
		return 0
	}
	needed := max(uint32(q*float64(r.samples)+0.999999), 1)
	seen := uint32(0)
	for i, n := range r.counts {
		seen += uint32(n)
		if seen >= needed {
			return bucketMax(i)
		}
	}
	return bucketMax(runTimeBuckets - 1)
}

// bucketOf returns the index of the bucket of a run time.
func bucketOf(ran time.Duration) int {
	units := uint64(max(ran, 0)/runTimeResolution) + 4
	doublings := bits.Len64(units) - 3
	quarter := int(units>>doublings) - 4
	return min(doublings*4+quarter, runTimeBuckets-1)
}

// bucketMax returns the longest run time of a bucket.
func bucketMax(i int) time.Duration {
	next := uint64(i%4+5) << (i / 4)
	return time.Duration(next-4) * runTimeResolution
}
