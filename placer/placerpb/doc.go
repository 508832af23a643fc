// Package placerpb contains the generated messages and the generated service
// through which entries call the owners of shards.
package placerpb
