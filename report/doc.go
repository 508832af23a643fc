// Package report holds what a trial measured and writes it as a table, as JSON
// and as one HTML page with plots.
package report
