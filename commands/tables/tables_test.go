package tables_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/commands/tables"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/table"
)

// console runs commands against a stand-in store and a fixed list of instances.
type console struct {
	*qt.C
	store     *kv.Store
	instances []lovagestand.Instance
}

// Members implements lovagestand.MemberList.
func (c *console) Members(context.Context) (lovagestand.Members, error) {
	return lovagestand.Members{Instances: c.instances}, nil
}

// Register implements lovagestand.MemberList.
func (c *console) Register(context.Context, lovagestand.Instance) error { return nil }

// run runs a command, asserts its exit code, and returns its output including the
// error message.
func (c *console) run(code int, args ...string) string {
	c.Helper()
	command := tables.Command(tables.Deps{
		Store:   func(string) lovagestand.Store { return c.store },
		Members: func(string) lovagestand.MemberList { return c },
		Client:  http.DefaultClient,
	})
	var out bytes.Buffer
	command.SetArgs(args)
	command.SetOut(&out)
	command.SetErr(&out)
	command.SilenceUsage = true
	err := command.Execute()
	got := 0
	var failed *tables.Error
	if errors.As(err, &failed) {
		got = failed.ExitCode()
	}
	c.Assert(got, qt.Equals, code, qt.Commentf("%v: %s", args, out.String()))
	return out.String()
}

func (c *console) edit(dir, file, old, replacement string) {
	path := filepath.Join(dir, file)
	text, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, old)
	c.Assert(os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600), qt.IsNil)
}

// serve adds an instance that reports the given revision in force.
func (c *console) serve(id lovagestand.InstanceID, revision table.Revision) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(table.Status{Revision: revision})
	}))
	c.Cleanup(server.Close)
	c.instances = append(c.instances, lovagestand.Instance{ID: id, Address: strings.TrimPrefix(server.URL, "http://")})
}

func TestOperatorsChangeTables(t *testing.T) {
	c := &console{C: qt.New(t), store: kv.New()}
	mine, theirs := t.TempDir(), t.TempDir()
	c.Assert(os.CopyFS(mine, os.DirFS("../../examples/glazedesk")), qt.IsNil)
	c.Assert(c.run(0, "check", mine), qt.Contains, "sound: 5 routes, 1 pools")
	c.Assert(c.run(0, "apply", mine, "--writer", "asha"), qt.Contains, "accepted as revision 1")
	c.Assert(c.run(0, "fetch", theirs), qt.Contains, "fetched revision 1")
	c.Assert(c.run(0, "diff", theirs), qt.Equals, "")

	c.edit(mine, "routes.yaml", "startWithin: 1400ms", "startWithin: 1300ms")
	c.Assert(c.run(0, "diff", mine), qt.Contains, `~ routes/counter-quote startWithin: "1.4s" -> "1.3s"`+"\n")
	c.run(0, "apply", mine, "--writer", "asha", "--message", "quicker")
	c.edit(theirs, "pools.yaml", "headroom: 0.1", "headroom: 0.2")
	c.Assert(c.run(0, "apply", theirs, "--writer", "ben"), qt.Contains, "accepted as revision 3")
	c.Assert(c.run(0, "apply", theirs, "--writer", "ben"), qt.Contains, "nothing to change")
	c.edit(theirs, "routes.yaml", "startWithin: 1.4s", "startWithin: 1.2s")
	c.Assert(c.run(tables.ExitConflict, "apply", theirs), qt.Contains, "routes/counter-quote: changed by asha at revision 2")

	history := c.run(0, "history")
	c.Assert(strings.Index(history, "ben") < strings.Index(history, "quicker"), qt.IsTrue)
	c.edit(theirs, "routes.yaml", "pool: runners", "pool: runner")
	c.Assert(c.run(tables.ExitInput, "check", theirs), qt.Contains, `did you mean "runners"?`)
	c.Assert(c.run(tables.ExitInput, "apply", mine, "--base", "77"), qt.Contains, "base revision 77")
	c.run(tables.ExitInput, "check", t.TempDir())
	c.store.SetFaults(kv.Faults{Down: true})
	c.run(tables.ExitStore, "apply", mine, "--timeout", "200ms")
	c.run(tables.ExitStore, "history")
}

func TestStatusListsOutdatedInstances(t *testing.T) {
	c := &console{C: qt.New(t), store: kv.New()}
	c.run(0, "apply", "--base", "0", copyOf(c, "sheet-orders"))
	c.serve("a", 1)
	c.Assert(c.run(0, "status", "--wait"), qt.Contains, "accepted revision 1 (from store)")
	c.serve("b", 0)
	c.instances = append(c.instances, lovagestand.Instance{ID: "c", Address: "127.0.0.1:1"})
	out := c.run(tables.ExitFailed, "status", "--wait", "--timeout", "700ms")
	c.Assert(out, qt.Contains, "behind since 2")
	c.Assert(out, qt.Contains, "no answer")
	c.Assert(out, qt.Contains, "2 of 3 instances do not have revision 1")
}

func copyOf(c *console, firm string) string {
	dir := c.TempDir()
	c.Assert(os.CopyFS(dir, os.DirFS("../../examples/"+firm)), qt.IsNil)
	return dir
}

// TestReferenceNamesCommands checks that the operators' page mentions every
// subcommand, flag and exit code of "tables".
func TestReferenceNamesCommands(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../docs/operators/tables.md")
	c.Assert(err, qt.IsNil)
	for _, sub := range tables.Command(tables.Deps{}).Commands() {
		c.Assert(string(text), qt.Contains, "lovagestand tables "+sub.Name()+" ")
		for _, flag := range regexp.MustCompile(`--\w+`).FindAllString(sub.Flags().FlagUsages(), -1) {
			c.Assert(string(text), qt.Contains, flag)
		}
	}
	for code := range tables.ExitStore + 1 {
		c.Assert(string(text), qt.Contains, fmt.Sprintf("\n| %d | ", code))
	}
}
