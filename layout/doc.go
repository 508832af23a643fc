// Package layout divides the jobs and the workers of a cell among its shards.
package layout
