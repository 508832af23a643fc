// Package crowd tests instances against many callers that do not behave: that send
// large requests at the same time, stop before the end of a request or open connections
// without use. Its tests start the real program on loopback addresses.
package crowd
