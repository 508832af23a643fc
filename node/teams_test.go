package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/site"
)

// TestCapOfATeam runs three instances and a team whose jobs request several times its cap
// in all shards, and stops the owner in between. The team must never run more than its
// cap, and all its jobs must complete. It guards against parts that are not connected:
// the caps of the configuration, the shares of several shards, the reply for a job that
// can never run.
func TestCapOfATeam(t *testing.T) {
	t.Run("one shard", func(t *testing.T) { testCapOfATeam(t, 1) })
	t.Run("four shards", func(t *testing.T) { testCapOfATeam(t, 4) })
}

const teamCap = 5

func testCapOfATeam(t *testing.T, shards int) {
	c := qt.New(t)
	s, err := site.Open("127.0.0.1:0", 32)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	if shards > 1 {
		s.Keys.Put(election.LayoutKey, fmt.Appendf(nil, `{"shards":%d}`, shards))
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 3,
		"routes":  []map[string]any{{"name": "quote", "host": "a.example", "prefix": "/x/", "max_attempts": 2, "stretch": 2, "target_duration_ms": 1000, "service": "glazedesk"}},
		"tenants": []map[string]any{{"name": "p", "api_keys": []string{"key-of-p"}, "weight": 1, "cap": map[string]int{"cpu": teamCap * 1000}}},
	})
	c.Assert(err, qt.IsNil)
	s.Keys.Put(platform.ConfigurationKey, configuration)
	var cell []*instance
	for i := range 3 {
		cell = append(cell, start(c, s, fmt.Sprint("node-", i)))
	}
	call := func(i *instance, method string, n int, body string) (int, string) {
		r, err := http.NewRequest(method, fmt.Sprintf("http://%s/x/%016x", i.settings.CallerAddress, n), strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		r.Host = "a.example"
		r.Header.Set("Authorization", platform.KeyScheme+" key-of-p")
		reply, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, ""
		}
		defer reply.Body.Close()
		var state struct{ State string }
		_ = json.NewDecoder(reply.Body).Decode(&state)
		return reply.StatusCode, state.State
	}
	body := func(n, tasks int, gang bool) string {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"estimate_ms":50,"gang":%v,"affinity":"r1-%d"}]}`,
			site.Spec{MilliCPU: 1000, Work: 50 * time.Millisecond}.String(), tasks, gang, n%shards)
	}
	eventually(t, "a job beyond the cap was not rejected", func() bool {
		status, _ := call(cell[0], http.MethodPost, 1000, body(0, teamCap+1, true))
		return status == http.StatusTooManyRequests
	})
	submit := func(i *instance, n int) {
		eventually(t, "a job was not accepted", func() bool {
			status, _ := call(i, http.MethodPost, n, body(n, 4, false))
			return status == http.StatusOK
		})
	}
	for n := range 12 {
		submit(cell[n%3], n)
	}
	cell[0].cancel()
	for n := range 12 {
		submit(cell[1+n%2], 12+n)
	}
	c.Assert(<-cell[0].done, qt.IsNil)
	for n := range 24 {
		eventually(t, "a job was not completed", func() bool {
			_, state := call(cell[1+n%2], http.MethodGet, n, "")
			return state == "completed"
		})
	}
	runs := s.Fleet.Runs()
	c.Assert(len(runs) >= 24*4, qt.IsTrue)
	for _, started := range runs {
		running := 0
		for _, r := range runs {
			if !r.Begun.After(started.Begun) && (r.Ended.IsZero() || r.Ended.After(started.Begun)) {
				running++
			}
		}
		c.Check(running <= teamCap, qt.IsTrue, qt.Commentf("QUOTA: %d tasks run at %s", running, s.Fleet.Describe(started)))
	}
	c.Check(s.Fleet.Violations(), qt.HasLen, 0)
	var stopping sync.WaitGroup
	for _, i := range cell[1:] {
		i.cancel()
		stopping.Go(func() { <-i.done })
	}
	stopping.Wait()
}
