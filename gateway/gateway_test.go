package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/gateway"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

const (
	first  = `{"version":3,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","service":"s","max_attempts":2}],"limits":{"max_body_bytes":200}}`
	second = `{"version":9,"routes":[{"name":"r2","host":"a.example","prefix":"/x/y/","service":"s"}],"limits":{"max_body_bytes":200}}`
	valid  = `{"spec":"t","steps":[{"count":1,"cpu":500}]}`
)

// owner returns err from each call and records the submitted jobs.
type owner struct {
	err  error
	jobs []job.Job
	// versions are those with which the jobs were admitted.
	versions []int64
}

func (o *owner) Submit(_ context.Context, j job.Job, version int64) error {
	o.versions = append(o.versions, version)
	o.jobs = append(o.jobs, j)
	return o.err
}

func (o *owner) State(context.Context, job.ID, lovagestand.TeamName) (string, error) {
	return "running", o.err
}
func (o *owner) Cancel(context.Context, job.ID, lovagestand.TeamName) error  { return o.err }
func (o *owner) Pending(context.Context, lovagestand.RouteName) (int, error) { return 12, o.err }

// follow returns routes that follow the configuration in a store.
func follow(t *testing.T, options ...gateway.RoutesOption) (*gateway.Routes, *keyspace.Store) {
	keys := keyspace.New()
	routes := gateway.NewRoutes(keys, zerolog.Nop(), options...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); routes.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return routes, keys
}

// serve returns a gateway and the store in which it follows the configuration.
func serve(t *testing.T, o gateway.OwnerClient, options ...gateway.RoutesOption) (*gateway.Gateway, *keyspace.Store) {
	routes, keys := follow(t, options...)
	return gateway.New(routes, o, zerolog.Nop(), lovagestand.NoRecorder{}), keys
}

func request(g *gateway.Gateway, method, path, body string, authorization ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(body))
	for _, value := range authorization {
		r.Header.Add(platform.HeaderAuthorization, value)
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

func assertStatus(c *qt.C, g *gateway.Gateway, method, path, body string, status int) {
	c.Helper()
	c.Assert(request(g, method, path, body).Code, qt.Equals, status)
}

const jobPath = "/x/5c0e7a21d94b36f8"

func TestConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, keys := serve(t, &owner{})
		c.Assert(g.Ready(), qt.IsFalse)
		assertStatus(c, g, http.MethodPost, jobPath, valid, http.StatusServiceUnavailable)
		keys.Put(platform.ConfigurationKey, []byte(first))
		time.Sleep(time.Second)
		c.Assert(g.Ready(), qt.IsTrue)
		assertStatus(c, g, http.MethodPost, jobPath, valid, http.StatusOK)
		keys.Put(platform.ConfigurationKey, []byte(second))
		keys.Compact()
		time.Sleep(time.Second)
		assertStatus(c, g, http.MethodPost, jobPath, valid, http.StatusNotFound)
		assertStatus(c, g, http.MethodPost, "/x/y/5c0e7a21d94b36f8", valid, http.StatusOK)
		keys.Put(platform.ConfigurationKey, []byte(first))
		keys.Put(platform.ConfigurationKey, []byte(`{"version":`))
		time.Sleep(2 * time.Second)
		assertStatus(c, g, http.MethodPost, jobPath, valid, http.StatusNotFound)
	})
}

func TestRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := &owner{}
		g, keys := serve(t, o)
		keys.Put(platform.ConfigurationKey, []byte(first))
		time.Sleep(time.Second)
		c.Assert(request(g, http.MethodGet, jobPath, "").Body.String(), qt.Equals, `{"state":"running"}`)
		c.Assert(request(g, http.MethodGet, "/x/", "").Body.String(), qt.Equals, `{"pending":12}`)
		assertStatus(c, g, http.MethodDelete, jobPath, "", http.StatusOK)
		assertStatus(c, g, http.MethodPut, jobPath, "", http.StatusMethodNotAllowed)
		assertStatus(c, g, http.MethodPost, "/x/short", valid, http.StatusBadRequest)
		assertStatus(c, g, http.MethodPost, jobPath, "{", http.StatusBadRequest)
		assertStatus(c, g, http.MethodPost, jobPath, `{"steps":[{"count":-1}]}`, http.StatusBadRequest)
		assertStatus(c, g, http.MethodPost, jobPath, `{"steps":"x"}`, http.StatusBadRequest)
		assertStatus(c, g, http.MethodPost, jobPath, strings.Repeat(" ", 300), http.StatusRequestEntityTooLarge)
		c.Assert(o.jobs, qt.HasLen, 0, qt.Commentf("invalid requests submit no job"))
		assertStatus(c, g, http.MethodPost, jobPath, valid, http.StatusOK)
		c.Assert(o.jobs[0].Policy.MaxAttempts, qt.Equals, 2)
		c.Assert(o.versions, qt.DeepEquals, []int64{3})
	})
}

func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := &owner{}
		g, keys := serve(t, o)
		keys.Put(platform.ConfigurationKey, []byte(first))
		time.Sleep(time.Second)
		for status, err := range map[int]error{
			http.StatusServiceUnavailable: &shard.RejectedError{Reason: "full", RetryAfter: 2 * time.Second},
			http.StatusTooManyRequests:    &shard.QuotaError{Team: "p"},
			http.StatusGatewayTimeout:     &shard.UnknownError{},
			http.StatusGone:               &shard.UnknownJobError{},
			http.StatusConflict:           &shard.OtherTeamError{},
		} {
			o.err = err
			assertStatus(c, g, http.MethodPost, jobPath, valid, status)
		}
		o.err = &shard.RejectedError{Reason: "full", RetryAfter: 2 * time.Second}
		c.Assert(request(g, http.MethodPost, jobPath, valid).Header().Get("Retry-After"), qt.Equals, "2")
		o.err = &shard.RejectedError{Reason: "overload", RetryAfter: 2500 * time.Millisecond, Overloaded: true}
		overloaded := request(g, http.MethodPost, jobPath, valid)
		c.Assert(overloaded.Code, qt.Equals, http.StatusTooManyRequests)
		c.Assert(overloaded.Header().Get("Retry-After"), qt.Equals, "3")
		o.err = &shard.IsolatedError{}
		isolated := request(g, http.MethodPost, jobPath, valid)
		c.Assert(isolated.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(isolated.Header().Get("Retry-After"), qt.Equals, "0")
		c.Assert(isolated.Header().Get("Connection"), qt.Equals, "close")
		o.err = &shard.NotOwnerError{}
		assertStatus(c, g, http.MethodGet, jobPath, "", http.StatusServiceUnavailable)
		g.Close()
		c.Assert(g.Ready(), qt.IsFalse)
		c.Assert(request(g, http.MethodGet, jobPath, "").Header().Get("Connection"), qt.Equals, "close")
	})
}

// TestHeaderLimit guards against headers beyond the limit of the configuration, and against a
// limit that ordinary headers meet.
func TestHeaderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, keys := serve(t, &owner{})
		keys.Put(platform.ConfigurationKey, []byte(strings.Replace(first, `"max_body_bytes"`, `"max_header_bytes":1000,"max_body_bytes"`, 1)))
		time.Sleep(time.Second)
		c.Assert(request(g, http.MethodPost, jobPath, valid, strings.Repeat("k", 900)).Code, qt.Equals, http.StatusOK)
		c.Assert(request(g, http.MethodPost, jobPath, valid, strings.Repeat("k", 1000)).Code, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// kinds records the kinds of events.
type kinds struct {
	lovagestand.NoRecorder
	counted map[string]int
}

func (k kinds) Count(_, kind string) { k.counted[kind]++ }

// TestUnknownMethodsAreCountedTogether guards against callers who fill the memory by methods
// of their own, of which metrics keep the names.
func TestUnknownMethodsAreCountedTogether(t *testing.T) {
	c := qt.New(t)
	k := kinds{counted: map[string]int{}}
	g := gateway.New(gateway.NewRoutes(keyspace.New(), zerolog.Nop()), &owner{}, zerolog.Nop(), k)
	for _, method := range []string{"MADE-UP", strings.Repeat("M", 1000), http.MethodPost} {
		request(g, method, jobPath, "")
	}
	c.Assert(k.counted, qt.DeepEquals, map[string]int{"other 503": 2, "POST 503": 1})
}
