package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/report/plot"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) float64 { return 100 * v },
	"seconds": func(millis float64) float64 { return millis / 1000 },
	"number":  func(i int) int { return i + 1 },
	"mega":    func(bytes uint64) string { return fmt.Sprintf("%.1f MB", float64(bytes)/1e6) },
	"kilo":    func(bytes float64) string { return fmt.Sprintf("%.1f kB", bytes/1e3) },
}).Parse(pageHTML))

// page is the data of the page template.
type page struct {
	Report
	Plots []template.HTML
}

// WriteHTML writes r as one HTML page that refers to no other file.
func (r Report) WriteHTML(w io.Writer) error {
	p := page{Report: r}
	for _, chart := range r.plots() {
		// SVG escapes all names and titles, so its result is safe as HTML.
		p.Plots = append(p.Plots, template.HTML(chart.SVG()))
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "report")
}

// Offset returns the time of the i-th violation, in seconds from the start.
func (p page) Offset(i int) float64 {
	return p.Audit.Violations[i].At.Sub(p.Started).Seconds()
}

func (r Report) plots() []plot.Plot {
	plots := []plot.Plot{
		{Title: "Waiting time by kind, 99th percentile", Unit: "ms", Log: true, Lines: r.waitingLines(func(s LatencySummary) float64 { return s.P99 })},
		{Title: "Waiting time by kind, median", Unit: "ms", Log: true, Lines: r.waitingLines(func(s LatencySummary) float64 { return s.P50 })},
		{Title: "Placements and store calls", Unit: "a second", Lines: []plot.Line{
			r.line("placements", 0, func(s Sample) float64 { return s.PlacementsPerSecond }),
			r.line("store calls", 1, func(s Sample) float64 { return s.StoreCallsPerSecond }),
		}},
		{Title: "Packing: dominant share given to running tasks", Unit: "%", Lines: []plot.Line{
			r.line("of busy workers", 0, func(s Sample) float64 { return 100 * s.Packing }),
			r.line("of all workers", 1, func(s Sample) float64 { return 100 * s.Share }),
		}},
		{Title: "Running tasks", Unit: "tasks", Lines: []plot.Line{
			r.line("running", 0, func(s Sample) float64 { return float64(s.Running) }),
		}},
		{Title: "Violations, counted up", Unit: "violations", Lines: []plot.Line{
			r.line("violations", 1, func(s Sample) float64 { return float64(s.Violations) }),
		}},
	}
	for i := range plots {
		plots[i].Seconds = r.plottedSeconds()
		plots[i].Bands = r.bands()
	}
	return plots
}

// plottedSeconds returns the length of the time axis, which covers the time of
// load and the wait for the last answers.
func (r Report) plottedSeconds() float64 {
	if n := len(r.Samples); n > 0 {
		return max(r.Seconds, r.Samples[n-1].AtMillis/1000)
	}
	return r.Seconds
}

// bands returns one band for each fault.
func (r Report) bands() []plot.Band {
	var bands []plot.Band
	for _, f := range r.Faults {
		bands = append(bands, plot.Band{Name: f.Name, From: f.FromMillis / 1000, Until: f.UntilMillis / 1000})
	}
	return bands
}

func (r Report) line(name string, color int, value func(Sample) float64) plot.Line {
	l := plot.Line{Name: name, Color: color}
	for _, s := range r.Samples {
		l.Points = append(l.Points, plot.Point{Seconds: s.AtMillis / 1000, Value: value(s)})
	}
	return l
}

// waitingLines returns a line of waiting times for each route.
func (r Report) waitingLines(value func(LatencySummary) float64) []plot.Line {
	var lines []plot.Line
	for i, k := range r.Kinds {
		l := plot.Line{Name: string(k.Route), Color: i}
		for _, s := range r.Samples {
			if w := s.waiting(k.Route); w.Count > 0 {
				l.Points = append(l.Points, plot.Point{Seconds: s.AtMillis / 1000, Value: value(w)})
			}
		}
		lines = append(lines, l)
	}
	return lines
}

func (s Sample) waiting(route lovagestand.RouteName) LatencySummary {
	for _, w := range s.Waiting {
		if w.Route == route {
			return w.Summary
		}
	}
	return LatencySummary{}
}
