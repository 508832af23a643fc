// Package table holds the operators' two tables: routes, which name the kinds
// of request, and pools, which name the groups of workers that serve them.
//
// [Parse] reads and checks both together. [Apply] writes them to the store by
// compare-and-swap with a merge by row. A [Follower] keeps the newest revision
// in force in each instance and never goes back.
package table
