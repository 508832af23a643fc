package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/commands"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/site"
)

// asker runs "lovagestand where" with the job in a file.
type asker struct {
	c       *qt.C
	file    string
	outputs strings.Builder
}

func newAsker(c *qt.C, job string) *asker {
	a := &asker{c: c, file: filepath.Join(c.TempDir(), "job.json")}
	a.write(job)
	return a
}

func (a *asker) write(job string) {
	a.c.Assert(os.WriteFile(a.file, []byte(job), 0o600), qt.IsNil)
}

// ask returns the exit status and what the command has written to both outputs.
func (a *asker) ask(i *instance, key string, args ...string) (int, string, string) {
	a.c.Setenv("LOVAGESTAND_KEY", key)
	args = append([]string{"where", a.file, "--host", "a.example", "--path", "/x/", "--instance", net.JoinHostPort(i.settings.Host, strconv.Itoa(i.settings.Ports[0]))}, args...)
	var out, errOut bytes.Buffer
	code := commands.Execute(args, &out, &errOut)
	fmt.Fprintln(&a.outputs, out.String(), errOut.String())
	return code, out.String(), errOut.String()
}

// TestWhere asks each instance of a cell where a job would be placed. It guards against a
// query that is not passed on to the owner, that sends the job, that needs no key, or that
// shows one.
func TestWhere(t *testing.T) {
	c := qt.New(t)
	log := &logBuffer{}
	s, err := site.Open("127.0.0.1:0", 3)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	const keyOfP, unknownKey = "juniper-7f3a", "hazel-e6b8"
	configuration, err := json.Marshal(map[string]any{
		"version": 3,
		"routes":  []map[string]any{{"name": "quote", "host": "a.example", "prefix": "/x/", "max_attempts": 2, "stretch": 2, "target_duration_ms": 1000, "service": "glazedesk"}},
		"tenants": []map[string]any{{"name": "p", "api_keys": []string{keyOfP}, "weight": 1, "cap": map[string]int{"cpu": 8000}}},
	})
	c.Assert(err, qt.IsNil)
	s.Keys.Put(platform.ConfigurationKey, configuration)
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
	const body = `{"spec":"milliCPU=1500 millis=600000","steps":[{"count":5,"cpu":1500,"mem_mb":100,"estimate_ms":50},{"count":1,"cpu":500,"after":[0]}]}`
	a := newAsker(c, body)
	placements := make([]shard.Placement, len(cell))
	for n, i := range cell {
		eventually(t, "no task of the job would start", func() bool {
			code, out, _ := a.ask(i, keyOfP, "--output", "json")
			// A reply leaves out empty fields, which must not remain from an earlier one.
			placements[n] = shard.Placement{}
			return code == 0 && json.Unmarshal([]byte(out), &placements[n]) == nil && len(placements[n].Steps[0].Workers) == 3
		})
	}
	c.Assert(placements[1], qt.DeepEquals, placements[0])
	c.Assert(string(placements[0].Steps[1].Reason), qt.Equals, "earlierSteps")
	_, text, _ := a.ask(cell[0], keyOfP)
	t.Log("\n" + text)
	c.Assert(text, qt.Contains, "step 0: 5 of 5 tasks would start; position 1 in the queue\n  i-0000  rack r1-0  tasks: 2  free: milliCPU=4000")

	for name, test := range map[string]struct {
		key, job string
		args     []string
		code     int
		text     string
	}{
		"no key":         {"", body, nil, 2, "the key is missing"},
		"unknown key":    {unknownKey, body, nil, 2, "the key is unknown"},
		"malformed key":  {"a\nb", body, nil, 2, "invalid header"},
		"unknown route":  {keyOfP, body, []string{"--path", "/y/"}, 2, "no such route"},
		"invalid ID":     {keyOfP, body, []string{"--path", "/x/1"}, 2, "16 hexadecimal digits"},
		"no host":        {keyOfP, body, []string{"--host", ""}, 2, "--host and --path"},
		"unknown format": {keyOfP, body, []string{"--output", "xml"}, 2, "neither text nor json"},
		"no file":        {keyOfP, body, []string{"--key-file", "missing"}, 2, "--key-file"},
		"malformed job":  {keyOfP, "{", nil, 2, "decode job"},
		"empty job":      {keyOfP, "{}", nil, 2, "instance"},
		"no instance":    {keyOfP, body, []string{"--instance", "127.0.0.1:1"}, 2, "connect"},
		"beyond the cap": {keyOfP, `{"steps":[{"count":3,"cpu":3000,"gang":true}]}`, nil, 1, "beyondCap"},
	} {
		c.Run(name, func(c *qt.C) {
			a.write(test.job)
			code, out, errOut := a.ask(cell[0], test.key, test.args...)
			c.Assert(code, qt.Equals, test.code)
			c.Assert(errOut, qt.Contains, test.text)
			c.Assert(out != "", qt.Equals, code == 1)
		})
	}
	jobs, _, err := s.Keys.Range(t.Context(), "shards/0/jobs/")
	c.Assert(err, qt.IsNil)
	c.Assert(jobs, qt.HasLen, 0)
	c.Assert(s.Fleet.Starts(), qt.Equals, 0)
	for _, written := range []string{a.outputs.String(), log.String()} {
		c.Assert(strings.Contains(written, keyOfP) || strings.Contains(written, unknownKey), qt.IsFalse)
	}

	eventually(t, "the job was not accepted", func() bool {
		status, _ := cell[0].call(c, http.MethodPost, "/x/00000000000000aa", body, "Token "+keyOfP)
		return status == http.StatusOK
	})
	eventually(t, "the job was not started", func() bool { return s.Fleet.Starts() == 5 })
	started := map[lovagestand.WorkerName]int{}
	for _, r := range s.Fleet.Runs() {
		started[r.Worker]++
	}
	for _, w := range placements[0].Steps[0].Workers {
		c.Check(started[w.Worker], qt.Equals, w.Tasks)
	}
	a.write(body)
	code, out, _ := a.ask(cell[1], keyOfP, "--path", "/x/00000000000000aa")
	c.Assert(code, qt.Equals, 1)
	c.Assert(out, qt.Contains, "knownID")
	_, text, _ = a.ask(cell[1], keyOfP)
	t.Log("\n" + text)
}

// whereOwner is an owner that answers other instances, and queries with a status; none if
// it is 0.
type whereOwner struct {
	calls  http.Handler
	status int
}

func (o whereOwner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case !strings.HasPrefix(r.URL.Path, "/cell/where/"):
		o.calls.ServeHTTP(w, r)
	case o.status == 0:
		// The end of the connection is noticed only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		w.WriteHeader(o.status)
	}
}

// TestWhereWithoutAnOwner guards against a query that fails without the reason, or that
// seems to say that the job would be rejected, if the owner does not answer, has an earlier
// version or is no longer the owner.
func TestWhereWithoutAnOwner(t *testing.T) {
	for status, text := range map[int]string{
		0:                             "the owner of the shard does not answer",
		http.StatusNotFound:           "the owner of the shard does not answer: status 404",
		http.StatusServiceUnavailable: "no instance owns the shard at the moment",
	} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			c := qt.New(t)
			served := httptest.NewServer(whereOwner{calls: cellpb.NewCellServer(&slowOwner{}), status: status})
			defer served.Close()
			s, err := site.Open("127.0.0.1:0", 1)
			c.Assert(err, qt.IsNil)
			defer s.Close()
			s.Keys.Put(election.LayoutKey, []byte(`{"shards":1}`))
			s.Keys.Put(election.OwnerKey(layout.FirstShard), fmt.Appendf(nil, `{"id":"other","address":%q}`, strings.TrimPrefix(served.URL, "http://")))
			c.Assert(s.Configure(1, "a.example", "/x/"), qt.IsNil)
			i := start(c, s, "node-0")
			defer func() { i.cancel(); <-i.done }()
			a := newAsker(c, `{"steps":[{"count":1,"cpu":500}]}`)
			eventually(t, "the error does not name "+text, func() bool {
				code, out, errOut := a.ask(i, "")
				c.Assert(code, qt.Equals, 2)
				c.Assert(out, qt.Equals, "")
				return strings.Contains(errOut, text)
			})
		})
	}
}
