// Package cell sums up a whole cell for operators: its regions, pools, shards,
// instances and workers, as one instance sees them.
package cell
