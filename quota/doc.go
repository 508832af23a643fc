// Package quota keeps the tasks of each team within the team's quota across all
// shards of a pool, without a store call for each request.
//
// The owner of each shard holds a share of every quota and starts tasks within
// that share. The shares of all shards are recorded in the store, in one
// [Ledger] for each pool and group of teams, and move between shards as demand
// shifts. To give up part of a share, an owner first lowers the limit that it
// enforces and then writes the lower share. To gain a higher share, it first
// writes the share and raises its limit only after the write has succeeded.
// Shares are raised only while their sum stays within the quota. The running
// tasks of a team therefore stay within its quota, even if an owner is paused,
// cut off or replaced.
//
// [Holder] is the state machine of one shard in one ledger. [Manager] drives
// the holders of one instance.
package quota
