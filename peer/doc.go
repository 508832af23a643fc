// Package peer connects an instance to its peers and to the platform: it drives
// the ownership state machine of package owner, tracks which instances are
// live, and distributes digests of shards.
//
// The instances of a region exchange heartbeats with each other, and an owner
// exchanges messages with its standbys in any region. One call carries everything
// that two instances have to send each other. Each instance also polls one
// instance of every other region at regular intervals. In steady state the only
// calls to the store are watches.
package peer
