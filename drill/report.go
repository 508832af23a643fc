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

// AnswerSummary summarizes how the requests of a span ended.
type AnswerSummary struct {
	Submitted, Done, NotRun, Unknown int
	// Slowest is the longest time from a request to its answer, without the time
	// for which the work ran.
	Slowest time.Duration
}

// Step is what was observed during one fault and shortly after it.
type Step struct {
	Name, Target string
	Length       time.Duration
	// Gap is the longest time in which no worker started a task.
	Gap     time.Duration
	Answers AnswerSummary
}

// Reason is a reason why requests were not run or have an unknown outcome.
type Reason struct {
	Outcome lovagestand.Outcome
	Text    string
	Count   int
}

// Measurement is the resource usage of the instances over a span.
type Measurement struct {
	Name string
	Span time.Duration
	// Cores is the mean number of processors that an instance kept busy,
	// MostCores the number of the busiest instance and MostBytes the largest
	// resident memory of any instance.
	Cores, MostCores float64
	MostBytes        int64
	// StoreCalls is the number of calls to the store per second, including
	// watches that wait.
	StoreCalls float64
}

// Report is the result of a drill.
type Report struct {
	// Ready is the longest time that an instance took from the start of its
	// process until it was ready, when all instances start at once.
	Ready time.Duration
	Rate  float64
	Loads []Measurement
	Steps []Step
	// Broken counts the calls without a complete answer, whatever the cause.
	Broken  int
	Audit   audit.Result
	Reasons []Reason
	// Histories describe, for each violation, the course of the request with its
	// key.
	Histories [][]string
	Usage     audit.Usage
}

// Write writes r as text with tables.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "ready after %s; %.0f requests a second; %d starts; %d calls broken off\n",
		r.Ready.Round(time.Millisecond), r.Rate, r.Usage.Starts, r.Broken)
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "fault\ttarget\tlength\tlongest gap\tasked\tdone\tnot run\tunknown\tslowest answer")
	for _, s := range r.Steps {
		a := s.Answers
		fmt.Fprintf(columns, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Target, rounded(s.Length),
			rounded(s.Gap), a.Submitted, a.Done, a.NotRun, a.Unknown, rounded(a.Slowest))
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
		for _, line := range r.Histories[i] {
			fmt.Fprintln(w, "   ", line)
		}
	}
}

func rounded(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
