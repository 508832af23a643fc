//go:build processes

package drill_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/drill"
	"lovagestand.example/lovagestand/examples"
	"lovagestand.example/lovagestand/standin/fleet"
)

var (
	storeOutage = flag.Duration("store-outage", drill.DefaultStoreOutage, "how long the store hangs")
	rate        = flag.Float64("rate", drill.DefaultRate, "requests a second")
	seed        = flag.Uint64("seed", 1, "seed of load and targets")
)

// process is a command whose Wait may be called more than once.
type process struct {
	command *exec.Cmd
	wait    func() error
}

func (p process) PID() int { return p.command.Process.Pid }

func (p process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

func (p process) Wait() error { return p.wait() }

// starter returns a [drill.Starter] that runs a program and writes the output of
// each process to a file in the directory logs.
func starter(program, logs string) drill.Starter {
	return func(name string, args ...string) (drill.Process, error) {
		log, err := os.Create(filepath.Join(logs, name+".log"))
		if err != nil {
			return nil, err
		}
		defer log.Close()
		c := exec.Command(program, args...)
		c.Stdout, c.Stderr = log, log
		if err := c.Start(); err != nil {
			return nil, err
		}
		return process{command: c, wait: sync.OnceValue(c.Wait)}, nil
	}
}

func TestProcesses(t *testing.T) {
	c := qt.New(t)
	directory := t.TempDir()
	logs := os.Getenv("DRILL_LOGS")
	if logs == "" {
		logs = directory
	}
	program := filepath.Join(directory, "lovagestand")
	built, err := exec.Command("go", "build", "-o", program, "../cmd/lovagestand").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", built))
	c.Assert(os.CopyFS(filepath.Join(directory, "tables"), os.DirFS("../examples/glazedesk")), qt.IsNil)
	tables, err := examples.Tables("glazedesk")
	c.Assert(err, qt.IsNil)
	report, err := drill.Run(t.Context(), drill.Config{
		Start: starter(program, logs), Directory: directory,
		Tables: tables, TablesDirectory: filepath.Join(directory, "tables"), Firm: fleet.Glazedesk(),
		Rate: *rate, Seed: *seed, StoreOutage: *storeOutage,
		Progress: func(part string) { t.Log(part) },
	})
	report.Write(os.Stdout)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Usage.Starts > 0, qt.IsTrue)
	c.Assert(report.Audit.Total(), qt.Equals, 0)
}
