// Package instance puts the parts of one scheduler process together: it
// follows the tables and the member list, owns shards, takes callers' requests
// and shows operators its state.
package instance
