package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/soak"
)

var (
	firstSeed    = flag.Uint64("seed", 1, "first seed")
	seeds        = flag.Int("seeds", 1, "number of seeds")
	length       = flag.Duration("length", 6*time.Second, "how long faults are injected with each seed")
	program      = flag.String("program", "", "program to run instead of one built here")
	logDirectory = flag.String("logs", "", "directory for the logs of the processes")
)

const (
	nodes   = 3
	workers = 6
	// interval is the mean time between two jobs. It keeps the workers nearly
	// full.
	interval = 80 * time.Millisecond
	// completionTimeout bounds how long accepted jobs may take after the last
	// fault. It is far longer than leases and takeovers take.
	completionTimeout = 2 * time.Minute
	// changeKeysAfter is when the keys of a cell with teams change, so early that they
	// must be in force in all nodes before the end of a short run.
	changeKeysAfter = time.Second
)

// regressionSeeds are seeds that once failed, each with the cause of the failure.
var regressionSeeds = []uint64{
	2,  // an acknowledgement reached the next incarnation of a worker
	7,  // the worker list overruled the incarnation that the worker itself reported
	16, // a job cancelled twice was forgotten
}

func build(c *qt.C) string {
	if *program != "" {
		return *program
	}
	built := filepath.Join(c.TB.(*testing.T).TempDir(), "lovagestand")
	out, err := exec.Command("go", "build", "-o", built, "../cmd/lovagestand").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return built
}

func TestSoak(t *testing.T) {
	binary := build(qt.New(t))
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		run(t, binary, seed, hasTeams(seed), (*soak.Cell).InjectFaults)
	}
	for _, seed := range regressionSeeds {
		run(t, binary, seed, false, (*soak.Cell).InjectEarlierFaults)
	}
}

// hasTeams reports whether the cell of a seed has teams: those of odd seeds have.
func hasTeams(seed uint64) bool { return seed%2 == 1 }

// open opens the cell of a run.
func open(binary, directory string, teams bool) (*soak.Cell, error) {
	if teams {
		return soak.OpenWithTeams(binary, directory, nodes, workers)
	}
	return soak.Open(binary, directory, nodes, workers)
}

// injector injects faults into a cell.
type injector func(c *soak.Cell, r *rand.Rand, length time.Duration, log func(string)) error

func run(t *testing.T, binary string, seed uint64, teams bool, inject injector) {
	t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		directory := t.TempDir()
		if *logDirectory != "" {
			directory = filepath.Join(*logDirectory, fmt.Sprint(seed))
			c.Assert(os.MkdirAll(directory, 0o700), qt.IsNil)
		}
		cell, err := open(binary, directory, teams)
		c.Assert(err, qt.IsNil)
		defer cell.Close()
		callers := soak.NewCallers(cell)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var calling sync.WaitGroup
		calling.Go(func() { callers.Submit(ctx, rand.New(rand.NewPCG(seed, 1)), interval) })
		calling.Go(func() { callers.ProbeKeys(ctx) })
		time.AfterFunc(changeKeysAfter, func() { c.Check(cell.ChangeKeys(), qt.IsNil) })
		t.Logf("second 0 is %s", time.Now().Add(-time.Duration(cell.Site.Fleet.Seconds(time.Now())*float64(time.Second))).UTC().Format(time.RFC3339Nano))
		err = inject(cell, rand.New(rand.NewPCG(seed, 2)), *length, func(description string) {
			t.Logf("%6.2f s %s", cell.Site.Fleet.Seconds(time.Now()), description)
		})
		c.Assert(err, qt.IsNil)
		cancel()
		calling.Wait()
		callers.AwaitCompletion(completionTimeout)
		c.Check(callers.CheckKeys(), qt.Equals, 0, qt.Commentf("nodes that are not in contact with the store in the end"))
		accepted, rejected, cancelled := callers.Counts()
		t.Logf("accepted %d, rejected %d, cancelled %d, runs %d", accepted, rejected, cancelled, cell.Site.Fleet.Starts())
		violations, excused := callers.Violations()
		for _, e := range excused {
			t.Log("excused: ", e)
		}
		for _, n := range cell.Nodes {
			c.Check(n.UnexpectedExits(), qt.Equals, 0, qt.Commentf("%s exited without a signal to exit: %s", n.Name, n.ExitReport()))
		}
		c.Check(violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
	})
}
