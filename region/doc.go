// Package region chooses the shard for a request from the digests of the shards
// and their age, and counts the billed bytes between regions.
//
// A request stays in its own region unless the wait that another region is
// expected to save costs more than the link delay and the bytes sent between
// the regions, by the [Weights] of the route.
package region
