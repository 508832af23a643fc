package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/standin/site"
)

// TestJobsRunInTheShardThatHasRoom guards against jobs that wait in a shard full of long tasks
// beside idle workers of another shard.
func TestJobsRunInTheShardThatHasRoom(t *testing.T) {
	c := qt.New(t)
	s, err := site.Open("127.0.0.1:0", 16)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	s.Keys.Put(election.LayoutKey, []byte(`{"shards":2}`))
	c.Assert(s.Configure(3, "a.example", "/x/"), qt.IsNil)
	cell := []*instance{start(c, s, "node-0"), start(c, s, "node-1")}
	capacity := awaitLoad(c, cell, "0")
	assertLoadOfUnknownShard(c, cell[0])
	submit := func(n int, body string) string {
		path := "/x/" + idInShard("0", n)
		eventually(t, "a job was not accepted", func() bool {
			status, _ := cell[n%2].call(c, http.MethodPost, path, body)
			return status == http.StatusOK
		})
		return path
	}
	body := func(tasks int64, work time.Duration) string {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"estimate_ms":%d}]}`,
			site.Spec{MilliCPU: 1000, Work: work}.String(), tasks, work.Milliseconds())
	}
	long := submit(0, body(capacity/1000, time.Hour))
	eventually(t, "the long tasks were not started", func() bool { return s.Fleet.Running() == int(capacity/1000) })
	for n := range 3 {
		path := submit(1+n, body(4, 50*time.Millisecond))
		eventually(t, "a job was not completed", func() bool {
			status, text := cell[n%2].call(c, http.MethodGet, path, "")
			c.Assert(status, qt.Not(qt.Equals), http.StatusGone, qt.Commentf("an accepted job is not known"))
			return text == `{"state":"completed"}`
		})
	}
	status, text := cell[0].callUntilAnswered(t, c, long)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(text, qt.Equals, `{"state":"running"}`)
	c.Check(s.Fleet.Violations(), qt.HasLen, 0)
	c.Check(s.Fleet.Starts(), qt.Equals, int(capacity/1000)+3*4)
	for _, i := range cell {
		i.cancel()
	}
	for _, i := range cell {
		<-i.done
	}
}

// idInShard returns the n-th ID in a shard of two.
func idInShard(shard string, n int) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%016x", i)
		if (layout.Layout{Shards: 2}).ShardOfID(job.ID(id)) != shard {
			continue
		}
		if n--; n < 0 {
			return id
		}
	}
}

// getLoad returns what an instance answers about the load of a shard.
func (i *instance) getLoad(c *qt.C, name string) (status int, body []byte) {
	reply, err := http.Get(fmt.Sprintf("http://%s:%d/cell/load/%s", i.settings.Host, i.settings.Ports[0], name))
	c.Assert(err, qt.IsNil)
	body, err = io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Body.Close(), qt.IsNil)
	return reply.StatusCode, body
}

// assertLoadOfUnknownShard checks the answer of an instance that does not own a shard.
func assertLoadOfUnknownShard(c *qt.C, i *instance) {
	status, _ := i.getLoad(c, "7")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}

// awaitLoad waits until the owner of a shard answers that all of its workers are idle, and
// returns their processor time in thousandths of a core.
func awaitLoad(c *qt.C, cell []*instance, name string) int64 {
	var load struct {
		Capacity, Free, Waiting map[string]int64
		Rooms                   []struct{ Workers int }
	}
	eventually(c.TB.(*testing.T), "no owner has answered the load of a shard with workers", func() bool {
		for _, i := range cell {
			status, body := i.getLoad(c, name)
			if status == http.StatusServiceUnavailable {
				continue
			}
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(json.Unmarshal(body, &load), qt.IsNil)
			workers := 0
			for _, r := range load.Rooms {
				workers += r.Workers
			}
			return workers == 8 && load.Capacity["milliCPU"] == load.Free["milliCPU"]
		}
		return false
	})
	c.Assert(load.Waiting["milliCPU"], qt.Equals, int64(0))
	return load.Capacity["milliCPU"]
}
