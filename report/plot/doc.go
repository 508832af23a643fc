// Package plot draws time series as SVG that can be embedded in an HTML page.
package plot
