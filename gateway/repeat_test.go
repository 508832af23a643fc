package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/gateway"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/shard"
)

const withTeams = `{"version":3,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","service":"s","max_attempts":2,"public":true}],"tenants":[{"name":"t1","api_keys":["k"],"weight":1}],"limits":{"max_body_bytes":200}}`

// failingOwner returns err until a time, for each submission.
type failingOwner struct {
	owner
	until time.Time
	calls int
}

func (o *failingOwner) Submit(context.Context, job.Job, int64) error {
	o.calls++
	if time.Now().Before(o.until) {
		return o.err
	}
	return nil
}

// submitWithRetries submits a job as a caller with 4 retries and a deadline of 3 s for
// each call, who waits a second before each retry.
func submitWithRetries(g *gateway.Gateway) int {
	status := 0
	for range 5 {
		r := httptest.NewRequest(http.MethodPost, "http://a.example"+jobPath, strings.NewReader(valid))
		r.Header.Set(platform.HeaderDeadline, "3000")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if status = w.Code; status != http.StatusServiceUnavailable {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// TestCallersOutlastOutages guards against callers who use up their retries during an
// outage of the store or a takeover of some seconds. Without teams each attempt is
// rejected at once, as before.
func TestCallersOutlastOutages(t *testing.T) {
	for config, lasting := range map[string]map[time.Duration]int{
		withTeams: {3 * time.Second: http.StatusOK, 5 * time.Second: http.StatusOK, 10 * time.Second: http.StatusOK},
		first:     {3 * time.Second: http.StatusOK, 5 * time.Second: http.StatusServiceUnavailable},
	} {
		for outage, status := range lasting {
			for name, err := range map[string]error{"store": &shard.RejectedError{Stalled: true, RetryAfter: time.Second}, "owner": &shard.NotOwnerError{}} {
				t.Run(fmt.Sprintf("teams=%v/%v/%s", config == withTeams, outage, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := qt.New(t)
						o := &failingOwner{owner: owner{err: err}}
						g, keys := serve(t, o)
						keys.Put(platform.ConfigurationKey, []byte(config))
						time.Sleep(time.Second)
						o.until = time.Now().Add(outage)
						c.Assert(submitWithRetries(g), qt.Equals, status)
						c.Assert(o.calls <= min(20, 1+int(outage/(300*time.Millisecond))), qt.IsTrue, qt.Commentf("%d calls", o.calls))
					})
				})
			}
		}
	}
}

// TestRepeatsSoonAfterAnOutage guards against callers who wait although the owner accepts
// jobs again.
func TestRepeatsSoonAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{710 * time.Millisecond, time.Second, 1790 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				o := &failingOwner{owner: owner{err: &shard.RejectedError{Stalled: true}}}
				g, keys := serve(t, o)
				keys.Put(platform.ConfigurationKey, []byte(withTeams))
				time.Sleep(time.Second)
				o.until = time.Now().Add(outage)
				c.Assert(submitWithRetries(g), qt.Equals, http.StatusOK)
				c.Assert(time.Since(o.until) <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(o.until)))
			})
		})
	}
}

// TestOnlySubmissionsWithoutEffectAreRepeated guards against repeated submissions that
// may turn a known outcome into an unknown one, and against calls that outlast their
// deadline.
func TestOnlySubmissionsWithoutEffectAreRepeated(t *testing.T) {
	for name, err := range map[string]error{
		"unknown": &shard.UnknownError{}, "overload": &shard.RejectedError{Overloaded: true}, "rejected": &shard.RejectedError{}, "isolated": &shard.IsolatedError{},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				o := &failingOwner{owner: owner{err: err}, until: time.Now().Add(time.Minute)}
				g, keys := serve(t, o)
				keys.Put(platform.ConfigurationKey, []byte(withTeams))
				time.Sleep(time.Second)
				request(g, http.MethodPost, jobPath, valid)
				c.Assert(o.calls, qt.Equals, 1)
				o.err, o.calls = &shard.NotOwnerError{}, 0
				begun := time.Now()
				request(g, http.MethodPost, jobPath, valid)
				c.Assert(time.Since(begun) < 3*time.Second, qt.IsTrue)
				c.Assert(o.calls > 1, qt.IsTrue)
			})
		})
	}
}
