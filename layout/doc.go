// Package layout assigns the jobs and the workers of a cell to its shards.
package layout
