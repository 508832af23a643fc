package node_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand/credential"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/site"
)

// logBuffer collects the logs of all nodes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const teamBody = `{"spec":"milliCPU=500 millis=50","steps":[{"count":1,"cpu":500,"estimate_ms":50}]}`

// TestKeysOfTeams runs a cell of one and of four shards with teams. Each team sees and
// cancels its own jobs only, at every instance. No key and no digest of a key may be in a
// log, a reply, the dumps or the store outside of the operator's configuration.
func TestKeysOfTeams(t *testing.T) {
	t.Run("one shard", func(t *testing.T) { testKeysOfTeams(t, 1, 4) })
	t.Run("four shards", func(t *testing.T) { testKeysOfTeams(t, 4, 32) })
}

func testKeysOfTeams(t *testing.T, shards, workers int) {
	c := qt.New(t)
	log := &logBuffer{}
	s, err := site.Open("127.0.0.1:0", workers)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	if shards > 1 {
		s.Keys.Put(election.LayoutKey, fmt.Appendf(nil, `{"shards":%d}`, shards))
	}
	keys := map[string]string{"a": "juniper-7f3a", "b": "rowan-91c4", "withdrawn": "alder-5d02", "never": "hazel-e6b8"}
	teams := []site.Team{{Name: "a", Keys: []string{keys["a"], keys["withdrawn"]}}, {Name: "b", Keys: []string{keys["b"]}}}
	c.Assert(s.Configure(1, "a.example", "/x/", teams...), qt.IsNil)
	var cell []*instance
	for i := range 2 {
		cell = append(cell, startLogging(c, s, fmt.Sprint("node-", i), zerolog.New(log)))
	}
	defer func() {
		for _, i := range cell {
			i.cancel()
		}
		for _, i := range cell {
			<-i.done
		}
	}()
	var replies strings.Builder
	call := func(n int, method, key string) int {
		status, text := cell[n%2].call(c, method, fmt.Sprintf("/x/%016x", n), teamBody, "Token "+keys[key])
		fmt.Fprintln(&replies, status, text)
		return status
	}
	await := func(n int, method, key string, status int) {
		eventually(t, fmt.Sprintf("%s of job %d by %s was not answered %d", method, n, key, status), func() bool {
			return call(n, method, key) == status
		})
	}
	for n := range 8 {
		await(n, http.MethodPost, "a", http.StatusOK)
		await(n, http.MethodPost, "b", http.StatusConflict)
		await(n, http.MethodGet, "b", http.StatusGone)
		await(n, http.MethodDelete, "b", http.StatusGone)
		await(n, http.MethodGet, "a", http.StatusOK)
		await(n, http.MethodGet, "never", http.StatusUnauthorized)
	}
	// A cancellation by one team, then the submission of the other one.
	for n := 10; n < 14; n++ {
		await(n, http.MethodDelete, "a", http.StatusGone)
		await(n, http.MethodPost, "b", http.StatusOK)
		eventually(t, "a job was not completed", func() bool {
			_, text := cell[n%2].call(c, http.MethodGet, fmt.Sprintf("/x/%016x", n), "", "Token "+keys["b"])
			return text == `{"state":"completed"}`
		})
		await(n, http.MethodGet, "a", http.StatusGone)
	}
	if shards > 1 {
		// Jobs of both teams with one ID in two shards: each team reaches its own job,
		// past the other one's.
		for rack, key := range []string{"a", "b"} {
			body := fmt.Sprintf(`{"spec":"milliCPU=500 millis=600000","steps":[{"count":1,"cpu":500,"affinity":"r1-%d"}]}`, rack)
			eventually(t, "job 30 of team "+key+" was not accepted", func() bool {
				status, _ := cell[0].call(c, http.MethodPost, fmt.Sprintf("/x/%016x", 30), body, "Token "+keys[key])
				return status == http.StatusOK
			})
		}
		await(30, http.MethodDelete, "b", http.StatusOK)
		for key, state := range map[string]string{"a": "running", "b": "cancelled"} {
			eventually(t, "job 30 of team "+key+" is not "+state, func() bool {
				_, text := cell[1].call(c, http.MethodGet, fmt.Sprintf("/x/%016x", 30), "", "Token "+keys[key])
				return text == fmt.Sprintf(`{"state":%q}`, state)
			})
		}
	}
	await(20, http.MethodPost, "withdrawn", http.StatusOK)
	teams[0].Keys = teams[0].Keys[:1]
	c.Assert(s.Configure(2, "a.example", "/x/", append(teams, teams[0])...), qt.IsNil)
	c.Assert(s.Configure(3, "a.example", "/x/", site.Team{Name: "", Keys: []string{keys["a"]}}, site.Team{Name: "b", Keys: []string{keys["a"]}}), qt.IsNil)
	eventually(t, "the invalid configuration was not reported", func() bool { return strings.Contains(log.String(), "tenants[1].api_keys[0]") })
	await(21, http.MethodPost, "withdrawn", http.StatusOK)
	c.Assert(s.Configure(4, "a.example", "/x/", teams...), qt.IsNil)
	await(22, http.MethodPost, "withdrawn", http.StatusUnauthorized)
	await(23, http.MethodPost, "withdrawn", http.StatusUnauthorized)
	await(20, http.MethodGet, "a", http.StatusOK)
	c.Assert(log.String(), qt.Contains, "key of a call rejected")

	texts := map[string]string{"log": log.String(), "replies": replies.String(), "store": dump(c, s)}
	for n, i := range cell {
		for _, path := range []string{"/debug/state", "/debug/vars"} {
			texts[fmt.Sprint(path, " ", n)] = read(c, "http://"+net.JoinHostPort(i.settings.Host, strconv.Itoa(i.settings.Ports[0]))+path)
		}
	}
	c.Assert(texts["/debug/vars 0"], qt.Contains, "rejectedKeys")
	for where, text := range texts {
		for name, key := range keys {
			digest := credential.DigestOf(key)
			c.Check(strings.Contains(text, key), qt.IsFalse, qt.Commentf("key %q in %s", name, where))
			c.Check(strings.Contains(text, hex.EncodeToString(digest[:4])), qt.IsFalse, qt.Commentf("digest of key %q in %s", name, where))
		}
	}
}

// dump returns everything in the store except for the operator's configuration.
func dump(c *qt.C, s *site.Site) string {
	items, _, err := s.Keys.Range(context.Background(), "")
	c.Assert(err, qt.IsNil)
	var text strings.Builder
	for _, i := range items {
		if i.Key != platform.ConfigurationKey {
			fmt.Fprintf(&text, "%s %s\n", i.Key, i.Value)
		}
	}
	c.Assert(text.String(), qt.Contains, "/jobs/")
	return text.String()
}

// read returns what an instance serves at a URL.
func read(c *qt.C, url string) string {
	client := http.Client{Timeout: 10 * time.Second}
	reply, err := client.Get(url)
	c.Assert(err, qt.IsNil)
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	return string(text)
}
