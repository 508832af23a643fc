package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/examples"
	"lovagestand.example/lovagestand/trial/caller"
)

// log keeps what a caller does and sees, in order.
type log struct {
	mutex  sync.Mutex
	events []string
}

func (l *log) add(event string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
}

func (l *log) Submitted(time.Time, caller.Request) { l.add("asked") }

func (l *log) Resubmitted(caller.Request) { l.add("repeated") }

func (l *log) Answered(_ time.Time, _ caller.Request, a lovagestand.Answer) { l.add(string(a.Outcome)) }

func (l *log) CallBroken(_ time.Time, _ caller.Request, t caller.Target, _ string) {
	l.add("broken at " + t.Name)
}

// pair is two instances that are given in turn.
type pair [2]*httptest.Server

func (p pair) Pick(_ lovagestand.RegionName, last string) (caller.Target, bool) {
	if last == "first" {
		return caller.Target{Name: "second", Address: address(p[1])}, true
	}
	return caller.Target{Name: "first", Address: address(p[0])}, true
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// says answers every call with a status and a document.
func says(status int, document string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(document))
	}
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// waits says that there is no answer yet until it is asked by key.
func waits(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		says(http.StatusAccepted, `{"key":"k","outcome":"waiting"}`)(w, r)
		return
	}
	says(http.StatusOK, `{"key":"k","outcome":"done"}`)(w, r)
}

func TestCaller(t *testing.T) {
	done := says(http.StatusOK, `{"key":"k","outcome":"done"}`)
	notReady := says(http.StatusServiceUnavailable, `{"type":"/problems/notReady","outcome":"notRun"}`)
	tests := []struct {
		name          string
		first, second http.HandlerFunc
		want          string
	}{
		{"answer", done, breaks, "asked, done"},
		{"asks by key", waits, breaks, "asked, done"},
		{"problem", says(http.StatusUnprocessableEntity, `{"outcome":"notRun"}`), breaks, "asked, notRun"},
		{"broken", breaks, done, "asked, broken at first, repeated, done"},
		{"untyped", says(http.StatusBadGateway, "oops"), done, "asked, broken at first, repeated, done"},
		{"not ready at first", notReady, done, "asked, repeated, done"},
		{"not ready later", breaks, notReady, "asked, broken at first, repeated, notRun"},
	}
	for _, tt := range tests {
		qt.New(t).Run(tt.name, func(c *qt.C) {
			p := pair{httptest.NewServer(tt.first), httptest.NewServer(tt.second)}
			defer p[0].Close()
			defer p[1].Close()
			l := &log{}
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			caller.New("malabar", transport, p, l).Run(context.Background(), caller.Request{Key: "k", StartWithin: time.Hour})
			c.Assert(strings.Join(l.events, ", "), qt.Equals, tt.want)
		})
	}
}

func TestSourceGoesBySeed(t *testing.T) {
	c := qt.New(t)
	tables, err := examples.Tables("glazedesk")
	c.Assert(err, qt.IsNil)
	kinds := caller.RequestKinds(tables)
	one, same, other := caller.NewSource("a", kinds, 1), caller.NewSource("a", kinds, 1), caller.NewSource("a", kinds, 2)
	keys := map[lovagestand.RequestKey]bool{}
	routes := map[lovagestand.RouteName]bool{}
	differs := false
	for range 400 {
		w := one.Next()
		c.Assert(string(same.Next().Body), qt.Equals, string(w.Body))
		differs = differs || string(other.Next().Body) != string(w.Body)
		keys[w.Key] = true
		routes[w.Route] = true
	}
	c.Assert(differs, qt.IsTrue)
	c.Assert(keys, qt.HasLen, 400)
	c.Assert(routes, qt.HasLen, len(kinds))
}
