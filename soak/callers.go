package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/site"
)

// Callers simulates the callers of a cell. They submit jobs, cancel some of
// them and record the answers.
type Callers struct {
	cell *Cell
	http *http.Client

	// jobs are the records of all jobs by ID. The map is complete when Submit
	// returns; until then it is read with mu.
	jobs map[string]*jobRecord
	// probes are the records of the jobs that ProbeKeys submits. The map is complete
	// when it returns.
	probes map[string]*jobRecord

	mu sync.Mutex
	// violations and excused are the answers and runs that break a rule. Those
	// in excused are explained by a recent disturbance or by an order that was
	// carried out late.
	violations, excused []string
}

// jobRecord is what the callers have observed of a job. The times are those of
// the first answer that reports the event, except that cancelled is the time at
// which the first DELETE is sent.
type jobRecord struct {
	accepted, cancelled, acknowledged, completed time.Time
	// rejected reports whether all attempts to submit the job were rejected, so
	// that it is guaranteed not to run.
	rejected bool
	// key is the key of the job's team; empty in a cell without teams.
	key string
	// route is the path of the job's route below callerPrefix.
	route string
	// forbidden reports whether the job was submitted with a key that was never issued.
	forbidden bool
	// steps are the steps of the job, each of which follows the one before.
	steps []step
}

// NewCallers returns the callers of a cell.
func NewCallers(c *Cell) *Callers {
	// There is no idle timeout: connections stay open until the process at the
	// other end exits.
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Callers{cell: c, http: &http.Client{Transport: transport}, jobs: map[string]*jobRecord{}, probes: map[string]*jobRecord{}}
}

const (
	// submitAttempts is how often a caller tries to submit a job.
	submitAttempts = 4
	// retryDelay is the pause between two attempts of a caller.
	retryDelay = 300 * time.Millisecond
)

// plan describes the calls about one job. All delays in it start when the first
// round of submissions ends, with an answer or without.
type plan struct {
	id, body string
	record   *jobRecord
	// firstNode is the index of the node that gets the first call.
	firstNode int
	deadline  time.Duration
	// duplicateDelays are the delays of further submissions of the same job,
	// queryDelays those of queries for its state.
	duplicateDelays []time.Duration
	queryDelays     []time.Duration
	// cancel reports whether the job is cancelled, after the delay cancelAfter.
	// With giveUp, a caller that is going to cancel a job stops submitting it
	// after the first attempt with an unknown outcome.
	cancel, giveUp bool
	cancelAfter    time.Duration
	// cancelCalls is the number of cancellations sent at the same time.
	cancelCalls int
}

// wideGangInterval is the number of jobs of which one on average is a wide gang, in a cell
// with such.
const wideGangInterval = 15

// Submit submits jobs until ctx is done, on average one per interval, which may change. It
// returns when all planned calls have been made.
func (c *Callers) Submit(ctx context.Context, r *rand.Rand, interval func() time.Duration) {
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		p := newPlan(r, n, len(c.cell.Nodes))
		if c.cell.shape.Classes {
			p = p.withClass(r)
		}
		if c.cell.shape.WideGangs && r.IntN(wideGangInterval) == 0 {
			p = p.withWideGang(r, c.cell)
		}
		p.record.key = c.cell.keyOf(n)
		c.mu.Lock()
		c.jobs[p.id] = p.record
		c.mu.Unlock()
		calls.Go(func() { c.execute(p) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * interval()))))
	}
	calls.Wait()
}

// randomBetween returns a random duration between two bounds.
func randomBetween(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

func newPlan(r *rand.Rand, n, nodes int) plan {
	p := plan{
		record: &jobRecord{}, id: fmt.Sprintf("%016x", n), firstNode: r.IntN(nodes), deadline: randomBetween(r, 500*time.Millisecond, 3*time.Second),
		cancel: r.IntN(3) == 0, giveUp: r.IntN(2) == 0, cancelCalls: 1 + r.IntN(2),
	}
	if p.cancelAfter = randomBetween(r, 0, 300*time.Millisecond); r.IntN(2) == 0 {
		p.cancelAfter = randomBetween(r, 0, 4*time.Second)
	}
	for range r.IntN(3) {
		p.duplicateDelays = append(p.duplicateDelays, randomBetween(r, 300*time.Millisecond, 6*time.Second))
		p.queryDelays = append(p.queryDelays, randomBetween(r, 0, 4*time.Second))
	}
	spec := site.Spec{MilliCPU: 500 * int64(1+r.IntN(4)), Work: randomBetween(r, 50*time.Millisecond, time.Second)}
	longRunning := false
	if p.cancel && r.IntN(4) == 0 {
		// Long enough to detect a run that continues after its cancellation.
		spec.Work = 20 * time.Second
		longRunning = n%2 == 0
	}
	count := 1 + r.IntN(4)
	if r.IntN(3) == 0 {
		spec.Gang = count
	}
	p.body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"gang":%t,"persistent":%t,"estimate_ms":500},{"count":1,"cpu":%d,"after":[0]}]}`,
		spec, count, spec.MilliCPU, spec.Gang > 0, longRunning, spec.MilliCPU)
	p.record.steps = stepsOf(spec, count)
	return p
}

// withClass returns the plan for a job of a class instead. One job in three is a batch job,
// whose tasks run for seconds, mostly with checkpoints. The others are urgent. Most jobs are
// not cancelled.
func (p plan) withClass(r *rand.Rand) plan {
	batch := r.IntN(3) == 0
	spec := site.Spec{MilliCPU: 500 * int64(1+r.IntN(4)), Work: randomBetween(r, 200*time.Millisecond, 1200*time.Millisecond)}
	count := 1 + r.IntN(4)
	if batch {
		spec.Work, count = randomBetween(r, time.Second, 5*time.Second), 1+r.IntN(8)
	} else {
		p.record.route = urgentPath
	}
	if r.IntN(5) == 0 {
		spec.Gang = count
	}
	spec.Checkpoints = batch && spec.Gang == 0 && r.IntN(4) > 0
	p.cancel = p.cancel && r.IntN(2) == 0
	p.body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"gang":%t,"saves_progress":%t,"estimate_ms":%d},{"count":1,"cpu":%d,"after":[0]}]}`,
		spec, count, spec.MilliCPU, spec.Gang > 0, spec.Checkpoints, spec.Work.Milliseconds(), spec.MilliCPU)
	p.record.steps = stepsOf(spec, count)
	return p
}

// wideGangMilliCPU is what a task of a wide gang needs: two of them fill a worker.
const wideGangMilliCPU = 1950

// withWideGang returns the plan for a wide gang instead. It needs a quarter to four tenths
// of the workers of its shard, of which the policy allows one more at least. It is not
// cancelled.
func (p plan) withWideGang(r *rand.Rand, c *Cell) plan {
	inShard := c.inFirstShard(p.id)
	workers, allowed := c.room(inShard).workers, c.room(c.allowedIn(inShard, p.id, 0)).workers
	wide := min(int(math.Ceil((0.25+0.15*r.Float64())*float64(workers))), allowed-1)
	spec := site.Spec{MilliCPU: wideGangMilliCPU, Work: randomBetween(r, 500*time.Millisecond, 2*time.Second), Gang: 2 * max(1, wide)}
	p.cancel, p.record.route = false, ""
	if r.IntN(2) == 0 {
		p.record.route = urgentPath
	}
	p.body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"gang":true,"estimate_ms":%d},{"count":1,"cpu":%d,"after":[0]}]}`,
		spec, spec.Gang, spec.MilliCPU, spec.Work.Milliseconds(), spec.MilliCPU)
	p.record.steps = stepsOf(spec, spec.Gang)
	return p
}

// execute makes the planned calls about a job.
func (c *Callers) execute(p plan) {
	if c.submitWithRetries(p) {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.record.rejected = true
		return
	}
	var calls sync.WaitGroup
	for i, after := range p.duplicateDelays {
		calls.Go(func() {
			time.Sleep(after)
			c.submit(p, p.firstNode+1+i)
		})
	}
	for i, after := range p.queryDelays {
		calls.Go(func() {
			time.Sleep(after)
			c.query(p.id, p.record, p.firstNode+i)
		})
	}
	calls.Go(func() { c.queryByOtherTeam(p) })
	if p.cancel {
		time.Sleep(p.cancelAfter)
		for i := range p.cancelCalls {
			calls.Go(func() { c.cancel(p, p.firstNode+i) })
		}
	}
	calls.Wait()
}

// submitWithRetries submits a job until it is accepted or the attempts are used
// up. It reports whether every attempt was rejected, so that the job is
// guaranteed not to run.
func (c *Callers) submitWithRetries(p plan) bool {
	allRejected := true
	for attempt := range submitAttempts {
		switch c.submit(p, p.firstNode+attempt) {
		case http.StatusOK:
			return false
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			allRejected = false
		}
		if !allRejected && p.cancel && p.giveUp {
			return false
		}
		time.Sleep(retryDelay)
	}
	return allRejected
}

func (c *Callers) submit(p plan, node int) int {
	status, _ := c.call(http.MethodPost, node, p.record.route+p.id, p.body, p.record.key, p.deadline)
	if status == http.StatusOK {
		c.setOnce(&p.record.accepted)
	}
	return status
}

// setOnce sets a time to now unless it is already set.
func (c *Callers) setOnce(at *time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
}

// cancel sends the cancellation to one node after the other until one of them
// acknowledges it.
func (c *Callers) cancel(p plan, node int) {
	c.setOnce(&p.record.cancelled)
	for ; ; node++ {
		status, _ := c.call(http.MethodDelete, node, p.record.route+p.id, "", p.record.key, p.deadline)
		if status == http.StatusOK || status == http.StatusGone {
			c.setOnce(&p.record.acknowledged)
			return
		}
		time.Sleep(retryDelay)
	}
}

// call sends a request with a key and a deadline by [Node.Call], to the node at an index
// modulo the number of nodes. A key that is in every version must never be refused.
func (c *Callers) call(method string, node int, id, body, key string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	n := c.cell.Nodes[node%len(c.cell.Nodes)]
	status, text := n.Call(ctx, c.http, method, id, body, key)
	if status == http.StatusUnauthorized && c.cell.permanent(key) {
		c.recordViolation(false, "CONFIG: %s refuses a key in force for %s of job %s at %.3f", n.Name, method, id, c.seconds(time.Now()))
	}
	return status, text
}

// Call sends a request about a job, or about the route if the ID is empty, and
// returns the status and the body of the reply. The status is 0 if there is no
// complete reply. An empty key is not sent.
func (n *Node) Call(ctx context.Context, client *http.Client, method, id, body, key string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Callers+callerPrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = callerHost
	if key != "" {
		r.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+" "+key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	reply, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return 0, ""
	}
	return reply.StatusCode, string(text)
}
