// Package instance assembles one scheduler process from its parts. An instance
// follows the tables and the member list, owns shards, accepts the requests of
// callers and shows its state to operators.
package instance
