// Package network joins the parts of a trial on loopback as if they stood in
// regions: it delays what goes far, counts bytes, and can pause or kill a host
// and cut regions from each other.
package network
