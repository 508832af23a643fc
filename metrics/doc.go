// Package metrics contains the counters and histograms of one instance. Each
// instance has its own [Metrics], so that several instances can run in one
// process.
package metrics
