// Package peer connects an instance to its peers and to the platform: it drives
// the ownership state machine of package owner, keeps the view of live
// instances, and spreads digests of shards.
//
// Instances of one region exchange heartbeats with each other, and an owner
// with its standbys wherever they are; one call carries all that two instances
// have to say. Other regions are surveyed now and then through one instance of
// each. In steady state the store is only watched.
package peer
