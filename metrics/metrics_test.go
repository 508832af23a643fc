package metrics_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/metrics"
	"lovagestand.example/lovagestand/standin/kv"
)

// readVariables returns the variables that the metrics serve as JSON under the name
// lovagestand.
func readVariables(c *qt.C, m *metrics.Metrics) map[string]json.RawMessage {
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, nil)
	var whole struct {
		Lovagestand map[string]json.RawMessage `json:"lovagestand"`
	}
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), &whole), qt.IsNil)
	return whole.Lovagestand
}

// assertCounts checks the JSON of one variable.
func assertCounts(c *qt.C, m *metrics.Metrics, name, want string) {
	c.Helper()
	c.Assert(string(readVariables(c, m)[name]), qt.JSONEquals, json.RawMessage(want))
}

func TestAnswersAndWaits(t *testing.T) {
	c := qt.New(t)
	m := metrics.New()
	for _, waited := range []time.Duration{time.Millisecond, 3 * time.Millisecond} {
		m.Answered("counter-quote", lovagestand.ClassUrgent, lovagestand.Answer{Outcome: lovagestand.OutcomeDone, Waited: waited})
	}
	m.Answered("counter-quote", lovagestand.ClassUrgent, lovagestand.NotRunAnswer("k", "full", time.Second))
	assertCounts(c, m, "answers", `{"counter-quote.done": 2, "counter-quote.notRun": 1}`)
	var waits map[lovagestand.Class]metrics.DurationSummary
	c.Assert(json.Unmarshal(readVariables(c, m)["waits"], &waits), qt.IsNil)
	c.Assert(waits[lovagestand.ClassUrgent].Count, qt.Equals, int64(2))
	c.Assert(waits[lovagestand.ClassUrgent].MaxMillis >= 3, qt.IsTrue)
	c.Assert(waits[lovagestand.ClassBatch].Count, qt.Equals, int64(0))
}

func TestKeysAreBounded(t *testing.T) {
	c := qt.New(t)
	m := metrics.New()
	for n := range 3000 {
		m.Limited("route", lovagestand.TeamName(fmt.Sprint("team", n)))
	}
	var counts map[string]int
	c.Assert(json.Unmarshal(readVariables(c, m)["limited"], &counts), qt.IsNil)
	c.Assert(counts["other"], qt.Equals, 1000)
}

func TestStoreCalls(t *testing.T) {
	c := qt.New(t)
	m := metrics.New()
	s := m.Store(kv.New())
	_, err := s.Put(context.Background(), "a", []byte("x"), 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = s.Put(context.Background(), "a", []byte("y"), 0, 0)
	c.Assert(err, qt.ErrorAs, new(*lovagestand.ConflictError))
	c.Assert(s.Renew(context.Background(), 9), qt.IsNotNil)
	assertCounts(c, m, "storeCalls", `{"put": 2, "renew": 1}`)
	assertCounts(c, m, "storeFailures", `{"renew": 1}`)
}

// startStub returns the next of its errors from each call of Start.
type startStub struct {
	lovagestand.Workers
	errors []error
}

// Start implements [lovagestand.Workers].
func (s *startStub) Start(context.Context, string, lovagestand.TaskStart) error {
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

func TestStarts(t *testing.T) {
	c := qt.New(t)
	m := metrics.New()
	w := m.Workers(&startStub{errors: []error{nil, &lovagestand.RefusedError{}, &lovagestand.UnavailableError{}}})
	for range 3 {
		_ = w.Start(context.Background(), "10.0.0.1:1", lovagestand.TaskStart{})
	}
	assertCounts(c, m, "starts", `{"confirmed": 1, "refused": 1, "ambiguous": 1}`)
}

func TestPaidBytes(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "12345") }))
	c.Cleanup(server.Close)
	m := metrics.New()
	region := lovagestand.RegionName("malabar")
	client := http.Client{Transport: m.Transport(nil, "ernakulam", func(string) (lovagestand.RegionName, bool) { return region, true })}
	post := func(ctx context.Context) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("123"))
		c.Assert(err, qt.IsNil)
		reply, err := client.Do(r)
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
	}
	post(metrics.WithRoute(context.Background(), "counter-quote"))
	post(context.Background())
	region = "ernakulam"
	post(context.Background())
	assertCounts(c, m, "paidBytesByLink", `{"ernakulam>malabar": 6, "malabar>ernakulam": 10}`)
	assertCounts(c, m, "paidBytesByRoute", `{"counter-quote": 8, "control": 8}`)
}
