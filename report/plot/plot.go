package plot

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// The size of a plot and of the margins around its plotting area, in pixels.
const (
	width        = 640
	height       = 270
	marginLeft   = 56
	marginRight  = 20
	marginTop    = 62
	marginBottom = 30
	legendY      = 38
	// legendMarkWidth and letterWidth are the widths of the mark of a legend
	// entry and of each letter of its name.
	legendMarkWidth = 34
	letterWidth     = 6.2
	// tickCount is the number of intervals on a linear axis.
	tickCount = 5
)

// colors can be distinguished by people with color vision deficiencies.
var colors = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"}

// Point is one value at a time in seconds.
type Point struct {
	Seconds float64
	Value   float64
}

// Line is a named series of points in order of time.
type Line struct {
	Name   string
	Points []Point
	// Color selects one of the line colors by index.
	Color int
}

// Band is a named time span that is drawn shaded.
type Band struct {
	Name        string
	From, Until float64
}

// Plot is a chart of lines over a common time axis.
type Plot struct {
	Title string
	// Unit is the unit of the values.
	Unit string
	// Seconds is the length of the time axis.
	Seconds float64
	// Log makes the value axis logarithmic.
	Log   bool
	Lines []Line
	Bands []Band
}

// SVG returns the plot as an svg element.
func (p Plot) SVG() string {
	var b strings.Builder
	a := p.axis()
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s" font-family="sans-serif" font-size="11">`,
		width, height, html.EscapeString(p.Title))
	fmt.Fprintf(&b, `<text x="%d" y="18" font-size="14" font-weight="bold">%s</text>`, marginLeft, html.EscapeString(p.Title))
	p.drawBands(&b, a)
	p.drawAxes(&b, a)
	p.drawLines(&b, a)
	p.drawLegend(&b)
	b.WriteString(`</svg>`)
	return b.String()
}

// drawBands shades the time spans and numbers them from 1 above the plotting area.
func (p Plot) drawBands(b *strings.Builder, a axis) {
	for i, band := range p.Bands {
		left, right := a.x(band.From), a.x(min(band.Until, p.Seconds))
		fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#888" fill-opacity="0.10" stroke="#888" stroke-opacity="0.35" stroke-width="0.6"><title>%s</title></rect>`,
			left, marginTop, max(1, right-left), height-marginTop-marginBottom, html.EscapeString(band.Name))
		fmt.Fprintf(b, `<text x="%.1f" y="%d" font-size="10" fill="#555" text-anchor="middle">%d<title>%s</title></text>`,
			left, marginTop-4, i+1, html.EscapeString(band.Name))
	}
}

func (p Plot) drawAxes(b *strings.Builder, a axis) {
	for _, v := range a.ticks() {
		y := a.y(v)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`, marginLeft, y, width-marginRight, y)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`, marginLeft-6, y+4, label(v))
	}
	step := roundUp(p.Seconds / tickCount)
	for s := 0.0; s <= p.Seconds; s += step {
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">%s s</text>`, a.x(s), height-marginBottom+16, label(s))
	}
	fmt.Fprintf(b, `<text x="14" y="%d" transform="rotate(-90 14 %d)" text-anchor="middle">%s</text>`,
		height/2, height/2, html.EscapeString(p.Unit))
	fmt.Fprintf(b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#444"/>`,
		marginLeft, height-marginBottom, width-marginRight, height-marginBottom)
}

func (p Plot) drawLines(b *strings.Builder, a axis) {
	for _, l := range p.Lines {
		if len(l.Points) == 0 {
			continue
		}
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.6" points="`, l.color())
		for _, point := range l.Points {
			fmt.Fprintf(b, "%.1f,%.1f ", a.x(point.Seconds), a.y(point.Value))
		}
		b.WriteString(`"/>`)
		for _, point := range l.Points {
			fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="2" fill="%s"><title>%s: %s %s at %.1f s</title></circle>`,
				a.x(point.Seconds), a.y(point.Value), l.color(), html.EscapeString(l.Name), label(point.Value), html.EscapeString(p.Unit), point.Seconds)
		}
	}
}

func (p Plot) drawLegend(b *strings.Builder) {
	x := float64(marginLeft)
	for _, l := range p.Lines {
		fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="%s" stroke-width="3"/>`,
			x, legendY-4, x+14, legendY-4, l.color())
		fmt.Fprintf(b, `<text x="%.1f" y="%d">%s</text>`, x+18, legendY, html.EscapeString(l.Name))
		x += legendMarkWidth + letterWidth*float64(len(l.Name))
	}
}

func (l Line) color() string {
	return colors[l.Color%len(colors)]
}

// label formats a value: two significant digits below 0.1, otherwise at most one
// decimal.
func label(v float64) string {
	if v != 0 && math.Abs(v) < 0.1 {
		return fmt.Sprintf("%.2g", v)
	}
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.1f", v)
}
