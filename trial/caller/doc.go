// Package caller plays the callers of a trial: it draws requests of the routes
// in the tables and sends them over HTTP as a careful caller would, repeating a
// request's key through another instance where a call breaks.
package caller
