// Package network simulates the network between the regions of a trial on
// loopback. It delays messages between failure domains and regions, counts bytes,
// and can pause or kill a host and partition a region from the others.
package network
