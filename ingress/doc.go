// Package ingress bounds what the connections of an HTTP server may use. Where there are too
// many, those that have been silent for longest are closed, so that callers who make
// progress are served.
package ingress
