package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/soak"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	length    = flag.Duration("length", 6*time.Second, "how long faults are injected with each seed")
	keepLogs  = flag.String("logs", "", "directory for the logs of the processes")
)

const (
	nodes   = 3
	workers = 6
	// settleFor bounds how long accepted jobs may take after the last fault:
	// far longer than leases and takeovers.
	settleFor = 2 * time.Minute
)

// regressions are seeds that once failed, each with its cause.
var regressions = []uint64{}

func build(c *qt.C) string {
	program := filepath.Join(c.TB.(*testing.T).TempDir(), "lovagestand")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/lovagestand").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

func TestSoak(t *testing.T) {
	program := build(qt.New(t))
	for i := range *seeds {
		run(t, program, *firstSeed+uint64(i))
	}
	for _, seed := range regressions {
		run(t, program, seed)
	}
}

func run(t *testing.T, program string, seed uint64) {
	t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		directory := t.TempDir()
		if *keepLogs != "" {
			directory = filepath.Join(*keepLogs, fmt.Sprint(seed))
			c.Assert(os.MkdirAll(directory, 0o700), qt.IsNil)
		}
		cell, err := soak.Open(program, directory, nodes, workers)
		c.Assert(err, qt.IsNil)
		defer cell.Close()
		callers := soak.NewCallers(cell)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			callers.Submit(ctx, rand.New(rand.NewPCG(seed, 1)), 60*time.Millisecond)
		}()
		begun := time.Now()
		err = cell.Trouble(rand.New(rand.NewPCG(seed, 2)), *length, func(what string) {
			t.Logf("%6.2f s %s", time.Since(begun).Seconds(), what)
		})
		c.Assert(err, qt.IsNil)
		cancel()
		<-done
		unfinished := callers.Unfinished(settleFor)
		accepted, rejected := callers.Accepted()
		t.Logf("accepted %d, rejected %d, runs %d", accepted, rejected, cell.Site.Fleet.Starts())
		c.Check(unfinished, qt.HasLen, 0, qt.Commentf("accepted jobs that did not complete"))
		c.Check(callers.Broken(), qt.HasLen, 0, qt.Commentf("tasks of rejected jobs"))
		c.Check(cell.Site.Fleet.Violations(), qt.HasLen, 0)
	})
}
