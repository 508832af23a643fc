// Package region chooses the shard that a request goes to, from digests of a
// stated age, and counts the bytes that are paid for between regions.
//
// A request stays in its own region unless the wait that another region is
// expected to save is worth the time on the link and the bytes paid for it, by
// the [Weights] of its route.
package region
