// Package node is an instance on the users' machines: it serves callers, takes
// its turn at owning the shard, and asks for advice in the owner's name.
package node
