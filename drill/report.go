package drill

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
)

// maxReasons is how many reasons are written.
const maxReasons = 12

// AnswerSummary sums up how the requests of a span ended.
type AnswerSummary struct {
	Asked, Done, NotRun, Unknown int
	// Slowest is the longest time to an answer beyond the time the work ran.
	Slowest time.Duration
}

// Step is what was seen while one fault was in and shortly after.
type Step struct {
	Name, Target string
	Length       time.Duration
	// Gap is the longest time in which no worker started anything.
	Gap     time.Duration
	Answers AnswerSummary
}

// Reason is why requests did not run or have an unknown outcome.
type Reason struct {
	Outcome lovagestand.Outcome
	Text    string
	Count   int
}

// Measurement is what the instances took of the machine over a span.
type Measurement struct {
	Name string
	Span time.Duration
	// Cores is the mean and MostCores the most processors that an instance
	// kept busy, MostBytes the most resident memory of any.
	Cores, MostCores float64
	MostBytes        int64
	// StoreCalls is the store's calls a second, waiting watches included.
	StoreCalls float64
}

// Report is what a drill found.
type Report struct {
	// Ready is the slowest instance's time from its process's start until it
	// served, all starting at once.
	Ready time.Duration
	Rate  float64
	Loads []Measurement
	Steps []Step
	// Broken counts the calls without a whole answer, whatever broke them.
	Broken  int
	Audit   audit.Result
	Reasons []Reason
	// Trails tell, for each violation, how the caller of its key fared.
	Trails [][]string
	Usage  audit.Usage
}

// Write writes a table of r.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "ready after %s; %.0f requests a second; %d starts; %d calls broken\n",
		r.Ready.Round(time.Millisecond), r.Rate, r.Usage.Starts, r.Broken)
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "fault\tat\tlength\tlongest gap\tasked\tdone\tnot run\tunknown\tslowest answer")
	for _, s := range r.Steps {
		a := s.Answers
		fmt.Fprintf(columns, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Target, rounded(s.Length),
			rounded(s.Gap), a.Asked, a.Done, a.NotRun, a.Unknown, rounded(a.Slowest))
	}
	fmt.Fprintln(columns, "load\tspan\tcores\tmost cores\tmost resident\tstore calls/s")
	for _, l := range r.Loads {
		fmt.Fprintf(columns, "%s\t%s\t%.4f\t%.4f\t%.1f MiB\t%.1f\n", l.Name, rounded(l.Span),
			l.Cores, l.MostCores, float64(l.MostBytes)/(1<<20), l.StoreCalls)
	}
	_ = columns.Flush()
	for _, reason := range r.Reasons[:min(maxReasons, len(r.Reasons))] {
		fmt.Fprintf(w, "%5d %s: %s\n", reason.Count, reason.Outcome, reason.Text)
	}
	fmt.Fprintf(w, "violations %d\n", r.Audit.Total())
	for _, c := range r.Audit.Counts {
		fmt.Fprintf(w, "  %s %d\n", c.Kind, c.Count)
	}
	for i, v := range r.Audit.Violations {
		fmt.Fprintln(w, v.At.Format(clockLayout), v)
		for _, line := range r.Trails[i] {
			fmt.Fprintln(w, "   ", line)
		}
	}
}

func rounded(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
