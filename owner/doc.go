// Package owner decides which instance may place on which shard. It is a pure
// state machine: it has no clock, network or store. A [Node] is fed what
// happened and returns [Effect] values for its driver to carry out.
//
// A shard's entry in the document of its region names an owner, up to two
// standbys and an epoch. The owner holds the right to an epoch while the
// promise of at least one standby for it is fresh. An epoch ends either with
// its owner's consent or with the consent of all its standbys, given for good,
// after their last promises have lapsed; the next one begins with a
// compare-and-swap of the document.
package owner
