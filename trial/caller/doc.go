// Package caller simulates the callers of a trial. It draws requests for the
// routes in the tables and sends them over HTTP. Where a call breaks, it sends the
// request again with the same key through another instance.
package caller
