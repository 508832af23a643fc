// Command compare runs one load with the policy, with variants of the policy
// that have one part switched off, and with simple schedulers, and prints a
// table of the results.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
	"lovagestand.example/lovagestand/pool/baseline"
	"lovagestand.example/lovagestand/pool/replay"
)

// variant is a decider and the change of the load with which it runs.
type variant struct {
	name    string
	decider func() lovagestand.Decider
	change  func(replay.Load) replay.Load
}

func withOptions(options ...pool.Option) func() lovagestand.Decider {
	return func() lovagestand.Decider { return pool.New("cell", options...) }
}

func unchanged(l replay.Load) replay.Load {
	return l
}

func wideHeadroom(l replay.Load) replay.Load {
	l.Headroom = 0.1
	return l
}

func mergedWorker(l replay.Load) replay.Load {
	l.Merged = true
	return l
}

func variants() []variant {
	return []variant{
		{"policy", withOptions(), unchanged},
		{"headroom 10%", withOptions(), wideHeadroom},
		{"headroom 10%, fixed", withOptions(pool.WithFixedHeadroom()), wideHeadroom},
		{"no displacing", withOptions(pool.WithoutPreemption()), unchanged},
		{"no ageing", withOptions(pool.WithoutAgeing()), unchanged},
		{"no backfill", withOptions(pool.WithoutBackfill()), unchanged},
		{"no sharing", withOptions(pool.WithoutFairSharing()), unchanged},
		{"first fit", withOptions(pool.WithFirstFit()), unchanged},
		{"FIFO first-fit", func() lovagestand.Decider { return baseline.New("cell") }, unchanged},
		{"FIFO, one big worker", func() lovagestand.Decider { return baseline.New("cell") }, mergedWorker},
		{"FIFO random", func() lovagestand.Decider { return baseline.New("cell", baseline.WithRandomPlacement(1)) }, unchanged},
	}
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the load")
	offered := flag.Float64("offered", 0.95, "offered load as a fraction of all processors")
	only := flag.String("only", "", "name of the only variant to run")
	off := flag.Float64("off", 5, "largest factor by which declared sizes and run times are wrong")
	flag.Parse()
	load := replay.StandardLoad(*seed)
	load.Offered = *offered
	load.DeclarationError = *off
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\turgent p50\tp99\tservice p99\tgang p50\tp99\tbatch p50\tp99\tplaced %\tuseful %\twasted %\tpreempted\tworst team %\tclaimed idle %\tpeak queue\t")
	for _, c := range variants() {
		if *only != "" && *only != c.name {
			continue
		}
		printRow(w, c.name, replay.Run(c.change(load), c.decider()))
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printRow(w *tabwriter.Writer, name string, r replay.Result) {
	fmt.Fprintf(w, "%s\t", name)
	for _, q := range []struct {
		class    lovagestand.Class
		quantile float64
	}{
		{lovagestand.ClassUrgent, 0.5},
		{lovagestand.ClassUrgent, 0.99},
		{lovagestand.ClassService, 0.99},
		{lovagestand.ClassGang, 0.5},
		{lovagestand.ClassGang, 0.99},
		{lovagestand.ClassBatch, 0.5},
		{lovagestand.ClassBatch, 0.99},
	} {
		fmt.Fprintf(w, "%s\t", seconds(r.Wait(q.class, q.quantile)))
	}
	fmt.Fprintf(w, "%.1f\t%.1f\t%.2f\t%d\t%.1f\t%.2f\t%d\t\n",
		100*r.Placed, 100*r.Used*(1-r.Wasted), 100*r.Wasted, r.Preempted, 100*r.WorstTeam, 100*r.ClaimedIdle, r.Peak)
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.2f s", d.Seconds())
}
