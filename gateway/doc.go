// Package gateway takes callers' jobs over HTTP under the routes of the
// operator's configuration and passes them to the owner of their shard.
package gateway
