package report_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/report"
)

func testReport() report.Report {
	started := time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
	a := audit.New(nil)
	a.CutOff(started.Add(1500*time.Millisecond), "k<1>", "i1", "connection broken")
	spread := report.LatencySummary{Count: 3, P50: 1.5, P99: 20, Max: 21}
	return report.Report{
		Started: started, Seed: 7, Seconds: 10, Instances: 9, Workers: 50,
		Starts: []report.InstanceStart{{Instance: "i1", AtMillis: -2500, ReadyMillis: 900}, {Instance: "i2", AtMillis: 10}},
		Faults: []report.Fault{{Name: "kill", FromMillis: 1000, UntilMillis: 2000, Target: "i1"}},
		Kinds:  []report.RouteOutcomes{{Route: "counter-quote", Class: "urgent", Asked: 3, Done: 3, Waiting: spread}},
		Samples: []report.Sample{{
			AtMillis: 1000, PlacementsPerSecond: 3,
			Waiting: []report.RouteLatency{{Route: "counter-quote", Summary: spread}},
		}},
		Audit: a.Result(),
	}
}

func assertContains(c *qt.C, text string, parts ...string) {
	c.Helper()
	for _, p := range parts {
		c.Assert(strings.Contains(text, p), qt.IsTrue, qt.Commentf("text does not contain %q:\n%s", p, text))
	}
}

func TestTable(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(testReport().WriteTable(&b), qt.IsNil)
	assertContains(c, b.String(), "counter-quote", "faults: kill", "i1 at -2.50 s, ready after 900 ms", "i2 at 0.01 s, never ready", "violations    1", "cutOff         1", "1.500s violation=cutOff")
}

func TestFiles(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	page := filepath.Join(dir, "r.html")
	c.Assert(testReport().WriteFile(page), qt.IsNil)
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	assertContains(c, string(text), "<b>1 violations</b>", "k&lt;1&gt;", "<polyline", "1.500", "ready after 900 ms")
	for _, external := range []string{"http://", "https://", "src="} {
		c.Assert(strings.Contains(string(text), external), qt.IsFalse)
	}

	document := filepath.Join(dir, "r.json")
	c.Assert(testReport().WriteFile(document), qt.IsNil)
	text, err = os.ReadFile(document)
	c.Assert(err, qt.IsNil)
	var read report.Report
	c.Assert(json.Unmarshal(text, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, testReport())

	c.Assert(testReport().WriteFile(filepath.Join(dir, "r.txt")), qt.ErrorAs, new(*report.FormatError))
}
