// Package node is an instance of the scheduler on the users' platform. It serves
// callers, contends for the ownership of shards, and asks for advice on behalf of
// their owners.
package node
