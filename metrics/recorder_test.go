package metrics_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/metrics"
)

func TestRecorder(t *testing.T) {
	c := qt.New(t)
	r := metrics.NewRecorder()
	r.Count("answers", "ok")
	r.Count("answers", "ok")
	for i := range 100 {
		r.Observe("waits", fmt.Sprint(i), time.Millisecond)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	var out struct {
		Lovagestand struct {
			Answers map[string]int                     `json:"answers"`
			Waits   map[string]metrics.DurationSummary `json:"waits"`
		} `json:"lovagestand"`
	}
	c.Assert(json.Unmarshal(w.Body.Bytes(), &out), qt.IsNil)
	c.Assert(out.Lovagestand.Answers["ok"], qt.Equals, 2)
	c.Assert(out.Lovagestand.Waits["0"].Count, qt.Equals, int64(1))
	c.Assert(len(out.Lovagestand.Waits) <= 33, qt.IsTrue, qt.Commentf("kinds are bounded"))
}
