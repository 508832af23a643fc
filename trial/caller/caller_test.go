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

// eventLog records the events of a caller in order.
type eventLog struct {
	mutex  sync.Mutex
	events []string
}

func (l *eventLog) add(event string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
}

func (l *eventLog) Submitted(time.Time, caller.Request) { l.add("asked") }

func (l *eventLog) Resubmitted(caller.Request) { l.add("repeated") }

func (l *eventLog) Answered(_ time.Time, _ caller.Request, a lovagestand.Answer) {
	l.add(string(a.Outcome))
}

func (l *eventLog) CallBroken(_ time.Time, _ caller.Request, t caller.Target, _ string) {
	l.add("broken at " + t.Name)
}

// instancePair is a balancer that alternates between two instances.
type instancePair [2]*httptest.Server

func (p instancePair) Pick(_ lovagestand.RegionName, last string) (caller.Target, bool) {
	if last == "first" {
		return caller.Target{Name: "second", Address: address(p[1])}, true
	}
	return caller.Target{Name: "first", Address: address(p[0])}, true
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// respondWith returns a handler that responds with a status and a document.
func respondWith(status int, document string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(document))
	}
}

// abort breaks the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// acceptThenAnswer accepts a submission without an answer and returns the final
// answer to a query by key.
func acceptThenAnswer(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		respondWith(http.StatusAccepted, `{"key":"k","outcome":"waiting"}`)(w, r)
		return
	}
	respondWith(http.StatusOK, `{"key":"k","outcome":"done"}`)(w, r)
}

func TestCaller(t *testing.T) {
	done := respondWith(http.StatusOK, `{"key":"k","outcome":"done"}`)
	notReady := respondWith(http.StatusServiceUnavailable, `{"type":"/problems/notReady","outcome":"notRun"}`)
	tests := []struct {
		name          string
		first, second http.HandlerFunc
		want          string
	}{
		{"answer", done, abort, "asked, done"},
		{"accepted, then queried by key", acceptThenAnswer, abort, "asked, done"},
		{"problem", respondWith(http.StatusUnprocessableEntity, `{"outcome":"notRun"}`), abort, "asked, notRun"},
		{"broken", abort, done, "asked, broken at first, repeated, done"},
		{"untyped response", respondWith(http.StatusBadGateway, "oops"), done, "asked, broken at first, repeated, done"},
		{"not ready at first", notReady, done, "asked, repeated, done"},
		{"not ready later", abort, notReady, "asked, broken at first, repeated, notRun"},
	}
	for _, tt := range tests {
		qt.New(t).Run(tt.name, func(c *qt.C) {
			p := instancePair{httptest.NewServer(tt.first), httptest.NewServer(tt.second)}
			defer p[0].Close()
			defer p[1].Close()
			l := &eventLog{}
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			caller.New("malabar", transport, p, l).Run(context.Background(), caller.Request{Key: "k", StartWithin: time.Hour})
			c.Assert(strings.Join(l.events, ", "), qt.Equals, tt.want)
		})
	}
}

func TestSourceIsDeterministic(t *testing.T) {
	c := qt.New(t)
	tables, err := examples.Tables("glazedesk")
	c.Assert(err, qt.IsNil)
	kinds := caller.RequestKinds(tables)
	one, same, other := caller.NewSource("a", kinds, 1), caller.NewSource("a", kinds, 1), caller.NewSource("a", kinds, 2)
	keys := map[lovagestand.RequestKey]bool{}
	routes := map[lovagestand.RouteName]bool{}
	differs := false
	for range 400 {
		request := one.Next()
		c.Assert(string(same.Next().Body), qt.Equals, string(request.Body))
		differs = differs || string(other.Next().Body) != string(request.Body)
		keys[request.Key] = true
		routes[request.Route] = true
	}
	c.Assert(differs, qt.IsTrue)
	c.Assert(keys, qt.HasLen, 400)
	c.Assert(routes, qt.HasLen, len(kinds))
}
