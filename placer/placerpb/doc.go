// Package placerpb holds the generated messages and service between entries
// and the owners of shards.
package placerpb
