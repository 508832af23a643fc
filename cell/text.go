package cell

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lovagestand.example/lovagestand"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// section is a section of the text: a title, a line of column headings and rows.
type section struct {
	title, columns string
	rows           []string
	// emptyText is written instead of a table if there are no rows.
	emptyText string
}

// Write writes the state as text for a terminal.
func (s State) Write(w io.Writer) error {
	fmt.Fprintf(w, "cell as %s sees it at %s, tables revision %d\n", s.AskedAt, s.At.Format(time.RFC3339), s.Revision)
	for _, part := range []section{s.regions(), s.pools(), s.queues(), s.shards(), s.instances(), s.unfit(), s.limited()} {
		if err := part.write(w); err != nil {
			return err
		}
	}
	return nil
}

func (s section) write(w io.Writer) error {
	fmt.Fprintf(w, "\n%s\n", s.title)
	if len(s.rows) == 0 {
		_, err := fmt.Fprintln(w, s.emptyText)
		return err
	}
	columns := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(columns, s.columns)
	for _, r := range s.rows {
		fmt.Fprintln(columns, r)
	}
	return columns.Flush()
}

func (s *section) addRow(format string, values ...any) {
	s.rows = append(s.rows, fmt.Sprintf(format, values...))
}

func (s State) regions() section {
	part := section{title: "Regions", columns: "REGION\tINSTANCES\tUNHEALTHY\tSHARDS\tWORKERS\tRUNNING\tWAITING", emptyText: "none known"}
	for _, r := range s.Regions {
		part.addRow("%s\t%d\t%d\t%d\t%d\t%d\t%d", r.Region, r.Instances, r.Unhealthy, r.Shards, r.Workers, r.Running, r.Waiting)
	}
	return part
}

func (s State) pools() section {
	part := section{title: "Pools (free of capacity)", columns: "POOL\tWORKERS\tRUNNING\tPROCESSORS\tMEMORY\tACCELERATORS", emptyText: "none known"}
	for _, p := range s.Pools {
		part.addRow("%s\t%d\t%d\t%s\t%s\t%s", p.Pool, p.Workers, p.Running, p.Processors(), p.Memory(), p.Accelerators())
	}
	return part
}

func (s State) queues() section {
	part := section{title: "Queues", columns: "POOL\tCLASS\tWAITING\tEXPECTED WAIT", emptyText: "none known"}
	for _, p := range s.Pools {
		for _, q := range p.Queues {
			part.addRow("%s\t%s\t%d\t%s", p.Pool, q.Class, q.Waiting, q.Wait())
		}
	}
	return part
}

func (s State) shards() section {
	part := section{title: "Shards", columns: "SHARD\tOWNER\tEPOCH\tDIGEST AGE", emptyText: "no owner is known"}
	for _, d := range s.Shards {
		if d.Owner == "" {
			part.addRow("%s\tno owner is known\t\t", d.Shard)
			continue
		}
		part.addRow("%s\t%s\t%d\t%s", d.Shard, d.Owner, d.Epoch, FormatMillis(d.AgeMillis))
	}
	return part
}

func (s State) instances() section {
	part := section{title: "Instances", columns: "REGION\tADDRESS\tDOMAIN\tREVISION\tAGE\tUPTIME\tIN FLIGHT\tSHARDS\tCLAIM HOMES\tSTATE", emptyText: "none known"}
	for _, i := range s.Instances {
		part.addRow("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s", i.Region, i.Address, i.FailureDomain, i.Revision, FormatMillis(i.AgeMillis), i.Uptime, i.InFlight, i.Shards, i.ClaimHomes, i.State())
	}
	return part
}

func (s State) unfit() section {
	part := section{title: "Workers that get no new work", columns: "WORKER\tSHARD\tPOOL\tWHY", emptyText: "none"}
	for _, u := range s.Unfit {
		part.addRow("%s\t%s\t%s\t%s", u.Worker, u.Shard, u.Pool, u.Reason)
	}
	return part
}

func (s State) limited() section {
	part := section{title: "Limits that kept requests out", columns: "ROUTE\tLIMIT\tREFUSED\tLAST TEAM\tLAST", emptyText: "none"}
	for _, f := range s.Limited {
		part.addRow("%s\t%s\t%d\t%s\t%s", f.Route, f.Kind, f.Count, f.LastTeam, f.LastAt.Format(time.RFC3339))
	}
	return part
}

// State returns the trouble of an instance. Without trouble, it returns "leaving"
// or "healthy".
func (i Instance) State() string {
	switch {
	case i.Trouble != "":
		return i.Trouble
	case i.Leaving:
		return "leaving"
	}
	return "healthy"
}

// Processors returns a text with the pool's free cores and its capacity in cores.
func (p Pool) Processors() string {
	return fmt.Sprintf("%s of %s", formatCores(p.Free.MilliCPU), formatCores(p.Capacity.MilliCPU))
}

// Memory returns a text with the pool's free memory and its capacity of memory.
func (p Pool) Memory() string {
	return fmt.Sprintf("%s of %s", formatMemory(p.Free.MemoryMiB), formatMemory(p.Capacity.MemoryMiB))
}

// Accelerators returns a text with the pool's free accelerators and its capacity of
// accelerators.
func (p Pool) Accelerators() string {
	return fmt.Sprintf("%d of %d", p.Free.Accelerators, p.Capacity.Accelerators)
}

// Wait returns a text with the range of the expected waits.
func (q Queue) Wait() string {
	if q.LeastWaitMillis == q.LongestWaitMillis {
		return FormatMillis(q.LeastWaitMillis)
	}
	return FormatMillis(q.LeastWaitMillis) + " to " + FormatMillis(q.LongestWaitMillis)
}

// FormatMillis formats n milliseconds as a duration such as "1.5s".
func FormatMillis(n int64) string {
	return (time.Duration(n) * time.Millisecond).String()
}

const (
	milliCPUPerCore = 1000
	mibPerGiB       = 1024
)

func formatCores(milli int64) string {
	return fmt.Sprintf("%.4g", float64(milli)/milliCPUPerCore)
}

func formatMemory(mib int64) string {
	if mib < mibPerGiB {
		return fmt.Sprintf("%d MiB", mib)
	}
	return fmt.Sprintf("%.5g GiB", float64(mib)/mibPerGiB)
}

// FormatResources formats an amount of resources with their units.
func FormatResources(r lovagestand.Resources) string {
	return fmt.Sprintf("%s cores, %s, %d accelerators", formatCores(r.MilliCPU), formatMemory(r.MemoryMiB), r.Accelerators)
}
