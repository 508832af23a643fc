package crowd_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/soak"
)

var (
	program      = flag.String("program", "", "program to run instead of one built here")
	logDirectory = flag.String("logs", "", "directory for the logs of the processes")
	factor       = flag.Int("factor", 1, "factor by which the crowds are larger")
	memoryMiB    = flag.Int("memory", 128, "memory of each process in MiB")
	descriptors  = flag.Int("descriptors", 1000, "descriptors of each process")
	holdTime     = flag.Duration("hold", 2*time.Second, "how long a crowd stays after all of it has been sent")
)

const (
	nodes   = 3
	workers = 7
	// attempts bounds the repetitions of an ordinary call, attemptTimeout the time of each,
	// and pause is that between two of them.
	attempts       = 60
	attemptTimeout = 3 * time.Second
	pause          = 100 * time.Millisecond
	// smallJob is an ordinary job.
	smallJob = `{"spec":"milliCPU=100 millis=50","steps":[{"count":1,"cpu":100,"estimate_ms":50}]}`
	// longJob is one whose tasks do not end during a test.
	longJob = `{"spec":"milliCPU=4000 millis=600000","steps":[{"count":2,"cpu":4000},{"count":10,"cpu":4000,"after":[0]}]}`
)

// port is the kind of port that a crowd calls.
type port string

const (
	callers  port = "callers"
	ready    port = "ready"
	internal port = "internal"
)

// crowds are the crowds by name. Each has fewer clients than make the machine slow, and
// enough for an instance without bounds to exceed a limit of its own.
var crowds = []struct {
	name    string
	clients int
	send    client
	// owner is whether the crowd calls the owner of the shard, instead of another node, and
	// everywhere whether it calls all nodes.
	owner, everywhere bool
	port              port
	// slowStore is whether the store is slow during the crowd.
	slowStore bool
	// restart is whether all nodes are killed and started again afterwards.
	restart bool
}{
	{name: "announced bodies without the last byte", clients: 700, send: stopsShort(callerPath, bodyBytes)},
	{name: "the same in pieces", clients: 700, send: stopsShortInPieces(32, 2*time.Second)},
	{name: "large chunks without the last chunk", clients: 700, send: chunked(callerPath, 3, 64<<10, 0)},
	{name: "one chunk without its last byte", clients: 700, send: chunked(callerPath, 1, bodyBytes, 1)},
	{name: "chunks of one byte", clients: 1500, send: chunked(callerPath, 64<<10, 1, 0)},
	{name: "small bodies without the last byte", clients: 1500, send: stopsShort(callerPath, 200)},
	{name: "small jobs in white space", clients: 700, send: whole(paddedJob())},
	{name: "large jobs", clients: 700, send: whole(largeJob()), restart: true},
	{name: "large jobs at the owner", clients: 700, send: whole(largeJob()), owner: true, restart: true},
	{name: "jobs of many tasks", clients: 200, send: whole(wideJob()), restart: true},
	{name: "large jobs at all nodes", clients: 500, send: whole(largeJob()), everywhere: true, restart: true},
	{name: "large jobs with a slow store", clients: 500, send: whole(largeJob()), everywhere: true, slowStore: true, restart: true},
	{name: "jobs of too many steps", clients: 300, send: whole(jobOfEmptySteps())},
	{name: "jobs of long lists", clients: 500, send: whole(jobOfLongLists()), everywhere: true, restart: true},
	{name: "many small jobs", clients: 200, send: repeated(100, "POST", longJob), everywhere: true, restart: true},
	{name: "cancellations of unknown jobs", clients: 200, send: repeated(200, "DELETE", ""), everywhere: true, restart: true},
	{name: "bodies on an unknown route", clients: 3000, send: unknownRoute},
	{name: "headers without an end", clients: 3000, send: endlessHeader(15 << 10)},
	{name: "huge headers without an end", clients: 700, send: endlessHeader(512 << 10)},
	{name: "long methods", clients: 300, send: longMethods(10, 60<<10)},
	{name: "queries with a body", clients: 700, send: queryWithBody},
	{name: "connections without a byte", clients: 3000, send: silent},
	{name: "connections to the ready port", clients: 3000, send: silent, port: ready},
	{name: "connections to the internal port", clients: 3000, send: silent, port: internal},
}

func build(c *qt.C) string {
	if *program != "" {
		return *program
	}
	built, err := soak.Build(c.TB.(*testing.T).TempDir())
	c.Assert(err, qt.IsNil)
	return built
}

// TestCrowds guards against callers that end a process, use it up for others or leave jobs
// behind that the next owner cannot load. Crowds come one at a time, each to a cell of its
// own.
func TestCrowds(t *testing.T) {
	binary := build(qt.New(t))
	for _, k := range crowds {
		t.Run(strings.ReplaceAll(k.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			s := open(c, binary)
			targets := s.cell.Nodes
			if !k.everywhere {
				targets = []*soak.Node{s.target(k.owner)}
			}
			if k.slowStore {
				s.setStoreMode(soak.Delay)
			}
			var gatherings []*gathering
			for _, n := range targets {
				gatherings = append(gatherings, gather(addressOf(n, k.port), *factor*k.clients, k.send))
			}
			for i, g := range gatherings {
				g.sent.Wait()
				s.assertAnswer(targets[i], "during the crowd")
			}
			time.Sleep(*holdTime)
			s.assertLimits()
			for _, g := range gatherings {
				g.disperse()
			}
			s.setStoreMode(soak.Pass)
			s.assertServed("after the crowd")
			s.assertLimits()
			if k.restart {
				s.restart()
				s.assertServed("after the restart")
				s.assertLimits()
			}
		})
	}
}

// addressOf returns the address of a port of a node.
func addressOf(n *soak.Node, p port) string {
	switch p {
	case ready:
		return n.Ready
	case internal:
		return n.Internal
	}
	return n.Callers
}

// TestLargestRequest guards against bounds that a caller within the limits meets: the
// largest job arrives in pieces, as slowly as the caller's deadline allows.
func TestLargestRequest(t *testing.T) {
	c := qt.New(t)
	s := open(c, build(c))
	body := largeJob()
	for i, n := range s.cell.Nodes {
		reader := &slowReader{text: body, pieces: 32, pause: 2 * headerDeadline / 3 / 32}
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/x/%016x", n.Callers, 100+i), reader)
		c.Assert(err, qt.IsNil)
		r.Host = "a.example"
		r.ContentLength = int64(len(body))
		r.Header.Set("X-Deadline-Ms", fmt.Sprint(headerDeadline.Milliseconds()))
		reply, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		c.Check(reply.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(reply.Body.Close(), qt.IsNil)
	}
	s.assertLimits()
}

// slowReader returns a text in pieces, with a pause before each.
type slowReader struct {
	text   string
	pieces int
	pause  time.Duration
	at     int
}

// Read implements [io.Reader].
func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	n, err := strings.NewReader(r.text[r.at:]).Read(p[:min(len(p), len(r.text)/r.pieces)])
	r.at += n
	return n, err
}

// cell is a cell of real processes whose use of memory and descriptors is watched.
type cell struct {
	c    *qt.C
	cell *soak.Cell
	http *http.Client
	// calls numbers the ordinary jobs.
	calls int
	usage *usage
}

func open(c *qt.C, binary string) *cell {
	directory := c.TB.(*testing.T).TempDir()
	if *logDirectory != "" {
		directory = filepath.Join(*logDirectory, filepath.Base(c.Name()))
		c.Assert(os.MkdirAll(directory, 0o700), qt.IsNil)
	}
	opened, err := soak.OpenShape(binary, directory, soak.Shape{Nodes: nodes, Workers: workers, MemoryMiB: int64(*memoryMiB), MaxDescriptors: *descriptors})
	c.Assert(err, qt.IsNil)
	s := &cell{c: c, cell: opened, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	c.Cleanup(opened.Close)
	s.usage = watchUsage(c, func() map[string]int {
		pids := map[string]int{}
		for _, n := range opened.Nodes {
			pids[n.Name] = n.PID()
		}
		return pids
	})
	s.assertServed("before the crowd")
	return s
}

// target returns the owner of the shard or another node.
func (s *cell) target(owner bool) *soak.Node {
	for _, n := range s.cell.Nodes {
		if (n == s.cell.Owner()) == owner {
			return n
		}
	}
	s.c.Fatal("no such node")
	return nil
}

// assertLimits asserts that no process has ended or used more memory or descriptors than
// it may.
func (s *cell) assertLimits() {
	s.c.Helper()
	for _, n := range s.cell.Nodes {
		s.c.Check(n.UnexpectedExits(), qt.Equals, 0, qt.Commentf("%s ended: %s", n.Name, n.ExitReport()))
	}
	s.usage.assertLimits(s.c)
}

// call submits an ordinary job to a node and returns the status of the reply, which is 0
// if there is none.
func (s *cell) call(n *soak.Node) int {
	s.calls++
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	status, _ := n.Call(ctx, s.http, http.MethodPost, fmt.Sprintf("ffff%012x", s.calls), smallJob, "")
	return status
}

// assertAnswer asserts that a node answers an ordinary call, if only with a rejection.
func (s *cell) assertAnswer(n *soak.Node, when string) {
	s.c.Helper()
	for range attempts {
		if s.call(n) != 0 {
			return
		}
		time.Sleep(pause)
	}
	s.c.Errorf("%s does not answer %s", n.Name, when)
}

// assertServed asserts that each node accepts an ordinary job.
func (s *cell) assertServed(when string) {
	s.c.Helper()
	for _, n := range s.cell.Nodes {
		served := false
		for i := 0; i < attempts && !served; i++ {
			if served = s.call(n) == http.StatusOK; !served {
				time.Sleep(pause)
			}
		}
		s.c.Check(served, qt.IsTrue, qt.Commentf("%s accepts no job %s", n.Name, when))
	}
}

// setStoreMode sets how calls of all nodes reach the store.
func (s *cell) setStoreMode(m soak.Mode) {
	for _, n := range s.cell.Nodes {
		n.Store.SetMode(m)
	}
}

// restart kills all nodes and starts them again. Peaks are counted anew.
func (s *cell) restart() {
	for _, n := range s.cell.Nodes {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range s.cell.Nodes {
		n.Wait()
		s.c.Assert(n.Start(), qt.IsNil)
	}
}
