// Package quota keeps teams within their quotas over all shards of a pool,
// with no store call for each request.
//
// The owner of each shard holds a share of every quota and starts tasks within
// it. The shares of all shards stand in one [Book] in the store for each pool
// and group of teams, and move by need: an owner first lowers what it starts
// within, and only then writes the lower share; it starts within a higher
// share only once that is written. The sum of the written shares is raised
// only up to the quota, so that what runs stays within it, whoever is paused,
// cut off or taken over. [Holder] is the state machine of one shard, [Keeper]
// drives the holders of one instance.
package quota
