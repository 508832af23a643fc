// Package metrics contains the counters and histograms of one instance. An instance
// that the command "serve" runs uses [Metrics], one that the command "node" runs
// uses [Recorder]. Each instance has its own, so that several instances can run in
// one process.
package metrics
