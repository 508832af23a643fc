// Package owner decides which instance may place tasks on which shard. It is a
// pure state machine without a clock, a network or a store: its driver reports
// events to a [Node] and carries out the [Effect] values that the node returns.
//
// A shard has an entry in the document of its region. The entry names an owner,
// up to two standbys and an epoch. A standby grants the owner a lease for a
// short time, and the owner renews its grants with every heartbeat. The owner
// has the ownership lease of an epoch while the grant of at least one standby
// is in force.
//
// An epoch ends in one of two ways. Either its owner ends it, in a handover to a
// successor or to change the standbys. Or a standby takes the shard over: all
// standbys seal the epoch, which means that they grant no further lease in it,
// and the leases that they have granted expire. The next epoch begins with a
// compare-and-swap of the document. If the store does not answer during a
// handover, it begins with a message from the owner to the successor.
package owner
