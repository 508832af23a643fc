package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable writes r as text for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f s, seed %d, %d instances, %d workers, faults: %s\n\n",
		r.Seconds, r.Seed, r.Instances, r.Workers, r.faultNames())
	r.writeOutcomes(&b)
	r.writeTotals(&b)
	r.writeViolations(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "report")
}

func (r Report) faultNames() string {
	var names []string
	for _, f := range r.Faults {
		names = append(names, f.Name)
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func (r Report) writeOutcomes(b *strings.Builder) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tclass\tasked\tdone\tfailed\tnot run\tcancelled\tunknown\trepeated\twait p50 ms\tp99\tmax\tanswer p50 ms\tp99\tmax\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			k.Route, k.Class, k.Asked, k.Done, k.Failed, k.NotRun, k.Cancelled, k.Unknown, k.Repeated,
			k.Waiting.P50, k.Waiting.P99, k.Waiting.Max, k.Answering.P50, k.Answering.P99, k.Answering.Max)
	}
	_ = t.Flush()
}

func (r Report) writeTotals(b *strings.Builder) {
	t := r.Totals
	fmt.Fprintf(b, "\nplacements    %d, %.1f a second\n", t.Placements, t.PlacementsPerSecond)
	fmt.Fprintf(b, "packing       %.1f%% of busy workers, %.1f%% of all\n", 100*t.Packing, 100*t.Share)
	fmt.Fprintf(b, "control bytes %d, %.0f a second and instance; %d paid across regions\n",
		t.ControlBytes, t.ControlBytesPerNode, t.PaidBytes)
	fmt.Fprintf(b, "  by link     ")
	for _, l := range t.LinkBytes {
		fmt.Fprintf(b, "%s %d  ", l.Link, l.Bytes)
	}
	fmt.Fprintf(b, "callers %d\n", t.CallerBytes)
	fmt.Fprintf(b, "store calls   ")
	for _, c := range t.StoreCallsPerSecond {
		fmt.Fprintf(b, "%s %.1f  ", c.Kind, c.PerSecond)
	}
	fmt.Fprintf(b, "a second; %d turned away, at most %d watches waiting\n", t.StoreLimited, t.StoreMostWaiting)
	fmt.Fprintf(b, "tables        %d changes accepted, %d refused, slowest in force everywhere after %.0f ms\n",
		t.TablesAccepted, t.TablesRefused, t.TablesSlowestMillis)
	for _, s := range r.Starts {
		fmt.Fprintf(b, "start         %s at %.2f s, %s\n", s.Instance, s.AtMillis/1000, s.Ready())
	}
	for _, n := range r.Notes {
		fmt.Fprintf(b, "note          %s\n", n)
	}
}

// Ready describes how long the instance took to become ready.
func (s InstanceStart) Ready() string {
	if s.ReadyMillis == 0 {
		return "never ready"
	}
	return fmt.Sprintf("ready after %.0f ms", s.ReadyMillis)
}

func (r Report) writeViolations(b *strings.Builder) {
	fmt.Fprintf(b, "\nviolations    %d\n", r.Audit.Total())
	for _, c := range r.Audit.Counts {
		fmt.Fprintf(b, "  %-14s %d\n", c.Kind, c.Count)
	}
	for _, v := range r.Audit.Violations {
		fmt.Fprintf(b, "%.3fs %s\n", v.At.Sub(r.Started).Seconds(), v)
	}
}
