// Package lovagestand holds the values and interfaces that every part of the
// cluster scheduler shares.
//
// Callers send requests of named routes. A route sends them to a pool, and a
// pool is served by workers in one or more regions. The scheduler runs as
// equal instances between callers and workers; each instance owns some shards
// of workers and places requests on them from memory.
//
// Everything outside the scheduler (the key-value store, the member list and
// the workers) is reached through an interface of this package. The
// implementations live in packages below it.
package lovagestand
