package node_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/site"
)

// TestLongestWaitsAreServed guards against a wait that the variables, the state of the
// owner and queries do not show, and against variables that are not documented.
func TestLongestWaitsAreServed(t *testing.T) {
	c := qt.New(t)
	s, err := site.Open("127.0.0.1:0", 1)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	c.Assert(s.Configure(3, "a.example", "/x/"), qt.IsNil)
	i := start(c, s, "node-0")
	defer func() {
		i.cancel()
		<-i.done
	}()
	internal := "http://" + net.JoinHostPort(i.settings.Host, strconv.Itoa(i.settings.Ports[0]))
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"requires":"none"}]}`, site.Spec{MilliCPU: 1000, Work: 50 * time.Millisecond}.String())
	eventually(t, "a job was not accepted", func() bool {
		status, _ := i.call(c, http.MethodPost, fmt.Sprintf("/x/%016x", 1), body)
		return status == http.StatusOK
	})
	eventually(t, "the wait is not served", func() bool {
		var vars struct {
			Lovagestand struct {
				LongestWaits         map[string]int64 `json:"longestWaits"`
				LongestWaitsWithRoom map[string]int64 `json:"longestWaitsWithRoom"`
			} `json:"lovagestand"`
		}
		c.Assert(json.Unmarshal([]byte(read(c, internal+"/debug/vars")), &vars), qt.IsNil)
		c.Assert(vars.Lovagestand.LongestWaitsWithRoom, qt.HasLen, 0)
		return vars.Lovagestand.LongestWaits["0"] > 0
	})
	var state struct{ Shards map[string]shard.Status }
	c.Assert(json.Unmarshal([]byte(read(c, internal+"/debug/state")), &state), qt.IsNil)
	c.Check(state.Shards["0"].LongestWait.Step, qt.Equals, "0000000000000001.0.0")
	c.Check(state.Shards["0"].LongestWait.Reason, qt.Equals, dispatch.WaitsForWorker)
	code, out, _ := newAsker(c, body).ask(i, "", "--path", fmt.Sprintf("/x/%016x", 1))
	c.Check(code, qt.Equals, 1)
	c.Check(out, qt.Contains, "(knownID)")
	c.Check(out, qt.Contains, "  1 wait: no open worker has the service and the label, and is large enough (noWorker)\n  it has waited for ")
	c.Check(out, qt.Contains, "  workers needed: 0; asked: 0, allowed: 0, with a ticket: 0; tasks with room there: 0, with a ticket: 0\n")
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	for _, name := range []string{"longestWaits", "longestWaitsWithRoom"} {
		c.Check(string(page), qt.Contains, "| `"+name+"` |")
	}
}
