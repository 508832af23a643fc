// Package lovagestand holds the values and interfaces that every part of the
// cluster scheduler shares.
//
// Callers send requests for named routes. Each route leads to a pool, and each
// pool is served by workers in one or more regions. The scheduler runs as a set
// of equal instances between callers and workers. Each instance owns some shards
// of the workers and places requests on them from in-memory state.
//
// The scheduler reaches every external system (the key-value store, the member
// list and the workers) through an interface of this package. The implementations
// are in the packages below it.
package lovagestand
