package crowd_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/soak"
)

const (
	// servedBytes is the largest JSON of a request to an instance of the command "serve".
	servedBytes = 2 << 20
	// servedPath is the path of requests, before the ID of a client, which has no meaning there.
	servedPath = "/v1/requests?"
	// longWork is the body of a request whose task does not end during a test.
	longWork = `{"runFor":"10m"}`
)

// servedCrowds are the crowds that call an instance of the command "serve".
var servedCrowds = []struct {
	name    string
	clients int
	send    client
}{
	{name: "announced bodies without the last byte", clients: 200, send: stopsShort(servedPath, servedBytes)},
	{name: "chunks without the last chunk", clients: 200, send: chunked(servedPath, 30, 64<<10, 0)},
	{name: "bodies without a reader", clients: 1500, send: stopsShort("/healthz?", 1<<10)},
	{name: "large requests", clients: 200, send: largeServedRequest},
	{name: "headers without an end", clients: 300, send: endlessHeader(512 << 10)},
	{name: "connections without a byte", clients: 1500, send: silent},
}

// largeServedRequest sends a whole request with a large body, whose task does not end soon.
func largeServedRequest(_ context.Context, conn net.Conn, id string) error {
	body := requestJSON(id, longWork+strings.Repeat(" ", 1<<20-len(longWork)))
	return write(conn, header("POST", "/v1/requests?wait=20s", length(len(body))), body)
}

// requestJSON returns a request with a key and a body.
func requestJSON(key, body string) string {
	return fmt.Sprintf(`{"key":%q,"route":"counter-quote","team":"showroom","startWithin":"30s","body":%q}`, key, base64.StdEncoding.EncodeToString([]byte(body)))
}

// TestServedCrowds is TestCrowds for an instance of the command "serve".
func TestServedCrowds(t *testing.T) {
	binary := build(qt.New(t))
	for _, k := range servedCrowds {
		t.Run(strings.ReplaceAll(k.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			s := startServing(c, binary)
			g := gather(s.address, *factor*k.clients, k.send)
			g.sent.Wait()
			s.assertAnswer(c, "during the crowd")
			time.Sleep(*holdTime)
			s.usage.assertLimits(c)
			g.disperse()
			s.assertDone(c, "after the crowd")
			s.usage.assertLimits(c)
		})
	}
}

// serving is an instance of the command "serve" beside stand-ins for its platform.
type serving struct {
	address string
	usage   *usage
	http    *http.Client
	calls   int
}

// startServing starts the stand-ins and an instance, and waits until it serves.
func startServing(c *qt.C, binary string) *serving {
	directory := c.TB.(*testing.T).TempDir()
	store, members, address := freeAddress(c), freeAddress(c), freeAddress(c)
	start(c, directory, binary, "standin", "store", "--listen", store)
	start(c, directory, binary, "standin", "workers", "--listen", members)
	tables := filepath.Join(directory, "tables")
	c.Assert(os.CopyFS(tables, os.DirFS("../examples/glazedesk")), qt.IsNil)
	applied := false
	for i := 0; i < attempts && !applied; i++ {
		out, err := exec.Command(binary, "tables", "apply", tables, "--store", "http://"+store, "--members", "http://"+members).CombinedOutput()
		if applied = err == nil; !applied {
			c.Logf("%s", out)
			time.Sleep(pause)
		}
	}
	c.Assert(applied, qt.IsTrue)
	file := filepath.Join(directory, "instance.yaml")
	text := fmt.Sprintf("listen: %s\nregion: ernakulam\nregions: [ernakulam, malabar, travancore]\nfailureDomain: ernakulam-1\n"+
		"platform:\n  store: http://%s\n  members: http://%s\nmemoryMiB: %d\nmaxDescriptors: %d\n", address, store, members, *memoryMiB, *descriptors)
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	pid := start(c, directory, binary, "serve", "--config", file)
	s := &serving{address: address, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	s.assertDone(c, "before the crowd")
	s.usage = watchUsage(c, func() map[string]int { return map[string]int{"serve": pid} })
	return s
}

// start starts a process that is killed at the end of the test, and returns its number.
func start(c *qt.C, directory, binary string, args ...string) int {
	log, err := os.Create(filepath.Join(directory, args[0]+args[1]+".log"))
	c.Assert(err, qt.IsNil)
	defer log.Close()
	command := exec.Command(binary, args...)
	command.Stdout, command.Stderr = log, log
	c.Assert(command.Start(), qt.IsNil)
	c.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command.Process.Pid
}

// freeAddress returns an address on which nothing listens, and which no outgoing connection
// takes.
func freeAddress(c *qt.C) string {
	port, err := soak.FreePort()
	c.Assert(err, qt.IsNil)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// call sends an ordinary request and returns the status of the reply, which is 0 if there is
// none.
func (s *serving) call() int {
	s.calls++
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	body := requestJSON(fmt.Sprintf("ordinary-%d", s.calls), `{"runFor":"5ms"}`)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/requests?wait=2s", strings.NewReader(body))
	if err != nil {
		return 0
	}
	reply, err := s.http.Do(r)
	if err != nil {
		return 0
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}

// assertAnswer asserts that the instance answers an ordinary request, if only with a
// rejection.
func (s *serving) assertAnswer(c *qt.C, when string) {
	c.Helper()
	for range attempts {
		if s.call() != 0 {
			return
		}
		time.Sleep(pause)
	}
	c.Errorf("no answer %s", when)
}

// assertDone asserts that the instance accepts an ordinary request.
func (s *serving) assertDone(c *qt.C, when string) {
	c.Helper()
	status := 0
	for range attempts {
		if status = s.call(); status == http.StatusOK || status == http.StatusAccepted {
			return
		}
		time.Sleep(pause)
	}
	c.Errorf("no request is accepted %s: status %d", when, status)
}
