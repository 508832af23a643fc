package instance_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/metrics"
)

// variables is the part of /debug/vars that the tests read.
type variables struct {
	Lovagestand struct {
		Answers    map[string]int                     `json:"answers"`
		Waits      map[string]metrics.DurationSummary `json:"waits"`
		Starts     map[string]int                     `json:"starts"`
		StoreCalls map[string]int                     `json:"storeCalls"`
	} `json:"lovagestand"`
}

// vars returns what the n-th instance serves at /debug/vars.
func (c *cell) vars(n int) []byte {
	reply, err := http.Get("http://" + c.instances[n].Address() + "/debug/vars")
	c.Assert(err, qt.IsNil)
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	return text
}

func TestServedMetricsMatchTheDocumentation(t *testing.T) {
	c := newCell(t)
	var served struct {
		Lovagestand map[string]json.RawMessage `json:"lovagestand"`
	}
	c.Assert(json.Unmarshal(c.vars(0), &served), qt.IsNil)
	var names []string
	for name := range served.Lovagestand {
		names = append(names, name)
	}
	page, err := os.ReadFile("../docs/operators/metrics.md")
	c.Assert(err, qt.IsNil)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\|").FindAllSubmatch(page, -1) {
		documented = append(documented, string(m[1]))
	}
	slices.Sort(names)
	slices.Sort(documented)
	c.Assert(names, qt.DeepEquals, documented)
}

func TestMetricsCountByInstance(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	status, _ := c.call(0, http.MethodPost, "/v1/requests?wait=20s", quote("counted"))
	c.Assert(status, qt.Equals, http.StatusOK)
	var called, other variables
	c.Assert(json.Unmarshal(c.vars(0), &called), qt.IsNil)
	c.Assert(json.Unmarshal(c.vars(1), &other), qt.IsNil)
	c.Assert(called.Lovagestand.Answers, qt.DeepEquals, map[string]int{"counter-quote.done": 1})
	c.Assert(called.Lovagestand.Waits["urgent"].Count, qt.Equals, int64(1))
	c.Assert(called.Lovagestand.StoreCalls["get"] > 0, qt.IsTrue)
	c.Assert(other.Lovagestand.Answers, qt.HasLen, 0)
	c.Assert(called.Lovagestand.Starts["confirmed"]+other.Lovagestand.Starts["confirmed"] <= 1, qt.IsTrue)
}
