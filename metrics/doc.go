// Package metrics counts what one instance does. Each instance has its own
// [Metrics], so that several can run in one process.
package metrics
