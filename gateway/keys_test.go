package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/gateway"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// configurationWith returns a version with a private and a public route and with teams.
func configurationWith(version, tenants string) []byte {
	return []byte(`{"version":` + version + `,"routes":[
		{"name":"r1","host":"a.example","prefix":"/x/","service":"s"},
		{"name":"r2","host":"a.example","prefix":"/p/","service":"s","public":true}],"tenants":` + tenants + `}`)
}

const (
	twoTeams   = `[{"name":"a","api_keys":["key-a"]},{"name":"b","api_keys":["key-b"]}]`
	publicPath = "/p/5c0e7a21d94b36f8"
)

// TestKeys guards against a job that is accepted without a key in force, or for another
// team, and against a key that is refused although it is in force.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := &owner{}
		g, keys := serve(t, o)
		put := func(version, tenants string) {
			keys.Put(platform.ConfigurationKey, configurationWith(version, tenants))
			time.Sleep(time.Second)
		}
		post := func(path string, authorization ...string) int {
			return request(g, http.MethodPost, path, valid, authorization...).Code
		}
		put("1", twoTeams)
		for _, refused := range [][]string{nil, {""}, {"key-a"}, {"Bearer key-a"}, {"Token never"}, {"Token key-a", "Token key-a"}} {
			c.Check(post(jobPath, refused...), qt.Equals, http.StatusUnauthorized, qt.Commentf("%q", refused))
		}
		c.Assert(post("/unknown/", "Token never"), qt.Equals, http.StatusNotFound)
		c.Assert(o.jobs, qt.HasLen, 0)
		c.Assert(post(jobPath, "Token key-a"), qt.Equals, http.StatusOK)
		c.Assert(post(jobPath, "Token key-b"), qt.Equals, http.StatusOK)
		c.Assert(post(publicPath), qt.Equals, http.StatusOK)
		var teams []lovagestand.TeamName
		for _, j := range o.jobs {
			teams = append(teams, j.Team)
		}
		c.Assert(teams, qt.DeepEquals, []lovagestand.TeamName{"a", "b", ""})

		put("2", `[{"name":"a","api_keys":["key-b"]},{"name":"b","api_keys":["key-b"]}]`)
		c.Assert(post(jobPath, "Token key-a"), qt.Equals, http.StatusOK, qt.Commentf("an invalid version is not put in force"))
		put("3", `[{"name":"a","api_keys":["key-a2"]}]`)
		for key, status := range map[string]int{"key-a": http.StatusUnauthorized, "key-b": http.StatusUnauthorized, "key-a2": http.StatusOK} {
			c.Check(post(jobPath, "Token "+key), qt.Equals, status, qt.Commentf("%s", key))
		}
		put("2", twoTeams)
		c.Assert(post(jobPath, "Token key-a"), qt.Equals, http.StatusUnauthorized, qt.Commentf("an older version does not return"))
	})
}

// unreadableBody fails the test if it is read.
type unreadableBody struct{ c *qt.C }

func (b unreadableBody) Read([]byte) (int, error) {
	b.c.Error("body of a call with an unknown key was read")
	return 0, io.EOF
}

// TestKeyIsCheckedBeforeTheBody guards against the cost of bodies from callers without a
// key.
func TestKeyIsCheckedBeforeTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, keys := serve(t, &owner{})
		keys.Put(platform.ConfigurationKey, configurationWith("1", twoTeams))
		time.Sleep(time.Second)
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			r := httptest.NewRequest(method, "http://a.example"+jobPath, unreadableBody{c})
			r.Header.Set(platform.HeaderAuthorization, "Token never")
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			c.Check(w.Code, qt.Equals, http.StatusUnauthorized)
		}
	})
}

// TestUnconfirmedConfiguration guards against a withdrawn key that is accepted for as long
// as the store cannot be reached although strict revocation is set, and against calls that
// are rejected for that reason without it.
func TestUnconfirmedConfiguration(t *testing.T) {
	const timeout = 2 * time.Second
	for name, strict := range map[string]bool{"strict": true, "lenient": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var options []gateway.RoutesOption
				if strict {
					options = append(options, gateway.WithRevocationTimeout(timeout))
				}
				g, keys := serve(t, &owner{}, options...)
				keys.Put(platform.ConfigurationKey, configurationWith("1", twoTeams))
				time.Sleep(time.Second)
				post := func(path, key string) int {
					return request(g, http.MethodPost, path, valid, "Token "+key).Code
				}
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					c.Assert(post(jobPath, "key-a"), qt.Equals, http.StatusOK, qt.Commentf("the store answers"))
				}
				keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultLostRequest })
				time.Sleep(timeout + time.Millisecond)
				want := http.StatusOK
				if strict {
					want = http.StatusServiceUnavailable
					w := request(g, http.MethodPost, jobPath, valid, "Token key-a")
					c.Assert(w.Header().Get("Retry-After"), qt.Equals, "1")
					c.Assert(w.Header().Get("Connection"), qt.Equals, "close")
				}
				c.Assert(post(jobPath, "key-a"), qt.Equals, want)
				c.Assert(post(publicPath, "key-a"), qt.Equals, http.StatusOK, qt.Commentf("a public route needs no key"))
				keys.SetFault(nil)
				time.Sleep(3 * time.Second)
				c.Assert(post(jobPath, "key-a"), qt.Equals, http.StatusOK, qt.Commentf("the store answers again"))
			})
		})
	}
}
