// Package table defines the operators' two tables: routes, which name the kinds
// of request, and pools, which name the groups of workers that serve them.
//
// [Parse] decodes and checks both tables together. [Applier.Apply] writes them to
// the store by compare-and-swap and merges concurrent edits row by row. A
// [Follower] runs in each instance and puts the newest revision that it receives
// in force. It never returns to an older one.
package table
