// Package cell summarizes the state of a whole cell for operators: its regions,
// pools, shards, instances and workers, as known to one instance. It also contains
// the explanations that operators request: where a request is, and where a new one
// would be placed.
package cell
