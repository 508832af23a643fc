// Package plot draws lines over time as SVG that can stand inside an HTML page.
package plot
