package instance_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/commands/operate"
	"lovagestand.example/lovagestand/standin/fleet"
)

// runCommand runs an operators' command against the n-th instance.
func (c *cell) runCommand(n int, args ...string) (string, error) {
	for _, command := range operate.Commands(http.DefaultClient) {
		if command.Name() != args[0] {
			continue
		}
		var out bytes.Buffer
		command.SetArgs(append(args[1:], "--instance", c.instances[n].Address()))
		command.SetOut(&out)
		command.SetErr(io.Discard)
		command.SilenceErrors = true
		err := command.Execute()
		return out.String(), err
	}
	c.Fatalf("no command %q", args[0])
	return "", nil
}

// awaitText runs a command repeatedly until its output matches a pattern.
func (c *cell) awaitText(n int, pattern string, args ...string) {
	for {
		text, err := c.runCommand(n, args...)
		c.Assert(err, qt.IsNil)
		if qt.Matches.Check(text, []any{pattern}, func(string, any) {}) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestStatusShowsTheCell(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	c.awaitText(0, `(?s).*tables revision 1\n.*ernakulam.*malabar.*travancore.*runners +6 .*healthy.*healthy.*healthy.*no new work\nnone\n\nLimits that kept requests out\nnone\n`, "status")
	text, err := c.runCommand(1, "status", "--json")
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Contains, `"tablesRevision": 1`)
	c.Assert(c.page(0), qt.Contains, c.instances[2].Address())
}

func TestStatusShowsAnInstanceThatDied(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	c.awaitText(0, `(?s).*healthy.*healthy.*healthy.*`, "status")
	c.instances[2].Kill()
	text, err := c.runCommand(0, "status")
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Contains, "does not answer")
}

func TestExplainShowsWhereARequestRuns(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	s := quote("explained")
	s.Body = fleet.Work{RunFor: fleet.Duration(time.Hour)}.Body()
	c.call(0, http.MethodPost, "/v1/requests?wait=1ms", s)
	c.awaitText(1, `(?s).*handed to shard .*runs on .*`, "explain", "explained")
	text, err := c.runCommand(2, "explain", "never-sent")
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Contains, "no instance that answers holds")
}

func TestExplainShowsWhereARouteWouldGo(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	c.awaitText(0, `(?s).*would go to shard .*in another region.*`, "explain", "--route", "counter-quote", "--team", "showroom")
	text, err := c.runCommand(0, "explain", "--route", "counter-quote", "--team", "showroom", "--processors", "500")
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Contains, "would go nowhere: ")
	c.Assert(text, qt.Contains, "never: its largest worker has 32 cores")
	_, err = c.runCommand(0, "explain", "--route", "no-such", "--team", "showroom")
	c.Assert(err, qt.ErrorMatches, `.*no route is named "no-such"`)
	_, err = c.runCommand(0, "explain")
	c.Assert(err, qt.ErrorMatches, "name either .*")
}

func TestDumpContainsTheMembers(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	text, err := c.runCommand(0, "dump")
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Contains, `"workers"`)
}

// page returns the HTML page for operators of the n-th instance.
func (c *cell) page(n int) string {
	reply, err := http.Get("http://" + c.instances[n].Address() + "/")
	c.Assert(err, qt.IsNil)
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.StatusCode, qt.Equals, http.StatusOK)
	return string(text)
}
