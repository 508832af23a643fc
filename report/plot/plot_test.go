package plot_test

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/report/plot"
)

// assertElements checks that svg is well-formed XML with the wanted number of
// elements of a name.
func assertElements(c *qt.C, svg, name string, want int) {
	c.Helper()
	n := 0
	d := xml.NewDecoder(strings.NewReader(svg))
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		c.Assert(err, qt.IsNil)
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == name {
			n++
		}
	}
	c.Assert(n, qt.Equals, want)
}

func TestSVG(t *testing.T) {
	for _, log := range []bool{false, true} {
		c := qt.New(t)
		p := plot.Plot{Title: "a < b", Unit: "ms", Seconds: 10, Log: log, Lines: []plot.Line{
			{Name: "one", Points: []plot.Point{{Seconds: 0, Value: 3}, {Seconds: 5, Value: 70}}},
			{Name: "two", Points: []plot.Point{{Seconds: 1, Value: 0}}},
			{Name: "empty"},
		}, Bands: []plot.Band{{Name: "kill & pause", From: 2, Until: 99}}}
		svg := p.SVG()
		assertElements(c, svg, "polyline", 2)
		assertElements(c, svg, "circle", 3)
		assertElements(c, svg, "rect", 1)
		c.Assert(strings.Contains(svg, "NaN"), qt.IsFalse)
		c.Assert(strings.Contains(svg, "Inf"), qt.IsFalse)
	}
}

func TestSVGWithoutPoints(t *testing.T) {
	c := qt.New(t)
	svg := plot.Plot{Title: "nothing", Log: true}.SVG()
	assertElements(c, svg, "polyline", 0)
	c.Assert(strings.Contains(svg, "NaN"), qt.IsFalse)
}
