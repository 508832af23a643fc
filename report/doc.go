// Package report holds the measurements of a trial and writes them as a text
// table, as JSON and as one HTML page with plots.
package report
