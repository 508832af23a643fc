// Package gateway serves the HTTP API of callers. It matches requests with the routes
// of the operator's configuration and forwards jobs to the owner of their shard.
package gateway
