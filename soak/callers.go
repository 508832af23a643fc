package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/site"
)

// Callers submit jobs, cancel some, and remember what they were told.
type Callers struct {
	cell *Cell
	http *http.Client

	// jobs is complete when Submit returns.
	jobs map[string]*jobRecord

	mu sync.Mutex
	// violations and excused are the answers that break a rule; the excused ones
	// came from nodes that were not in touch.
	violations, excused []string
}

// jobRecord is what callers know of a job. The times are those of the first answer
// that says so, and cancelled that of the first DELETE.
type jobRecord struct {
	accepted, cancelled, acknowledged, completed time.Time
	// rejected says that all attempts were surely rejected.
	rejected bool
}

// NewCallers returns callers of a cell.
func NewCallers(c *Cell) *Callers {
	// Connections stay open until the process at the other end is gone.
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Callers{cell: c, http: &http.Client{Transport: transport}, jobs: map[string]*jobRecord{}}
}

const (
	// submitAttempts is how often a caller tries to hand a job in.
	submitAttempts = 4
	// retryDelay spaces the attempts of one caller.
	retryDelay = 300 * time.Millisecond
)

// plan is what happens to one job.
type plan struct {
	id, body string
	record   *jobRecord
	// firstNode is the first that is asked.
	firstNode int
	deadline  time.Duration
	// duplicateDelays are sent so long after the caller was last answered or gave up.
	duplicateDelays []time.Duration
	queryDelays     []time.Duration
	// cancel says that the job is cancelled so long after that, and giveUp that
	// this comes after the first answer that leaves the outcome open.
	cancel, giveUp bool
	cancelAfter    time.Duration
	// cancelCalls are the cancellations sent at the same time.
	cancelCalls int
}

// Submit hands jobs in until ctx ends, about one each interval, and returns when
// all that was planned for them is over.
func (k *Callers) Submit(ctx context.Context, r *rand.Rand, interval time.Duration) {
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		p := newPlan(r, n, len(k.cell.Nodes))
		k.jobs[p.id] = p.record
		calls.Go(func() { k.execute(p) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * interval))))
	}
	calls.Wait()
}

// randomBetween returns a random time between two bounds.
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
	if p.cancel && r.IntN(4) == 0 {
		// Long enough to be seen running on after its cancellation.
		spec.Work = 20 * time.Second
	}
	count := 1 + r.IntN(4)
	if r.IntN(3) == 0 {
		spec.Gang = count
	}
	p.body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"gang":%t,"estimate_ms":500},{"count":1,"cpu":%d,"after":[0]}]}`,
		spec, count, spec.MilliCPU, spec.Gang > 0, spec.MilliCPU)
	return p
}

// execute does what is planned for a job.
func (k *Callers) execute(p plan) {
	if k.submitWithRetries(p) {
		k.mu.Lock()
		defer k.mu.Unlock()
		p.record.rejected = true
		return
	}
	var calls sync.WaitGroup
	for i, after := range p.duplicateDelays {
		calls.Go(func() {
			time.Sleep(after)
			k.submit(p, p.firstNode+1+i)
		})
	}
	for i, after := range p.queryDelays {
		calls.Go(func() {
			time.Sleep(after)
			k.query(p.id, p.record, p.firstNode+i)
		})
	}
	if p.cancel {
		time.Sleep(p.cancelAfter)
		for i := range p.cancelCalls {
			calls.Go(func() { k.cancel(p, p.firstNode+i) })
		}
	}
	calls.Wait()
}

// submitWithRetries tries to hand a job in and reports whether it was surely rejected.
func (k *Callers) submitWithRetries(p plan) bool {
	allRejected := true
	for attempt := range submitAttempts {
		switch k.submit(p, p.firstNode+attempt) {
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

func (k *Callers) submit(p plan, node int) int {
	status, _ := k.call(http.MethodPost, node, p.id, p.body, p.deadline)
	if status == http.StatusOK {
		k.setOnce(&p.record.accepted)
	}
	return status
}

// setOnce sets a time that is not set yet.
func (k *Callers) setOnce(at *time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
}

// cancel asks until it is answered, each time another node.
func (k *Callers) cancel(p plan, node int) {
	k.setOnce(&p.record.cancelled)
	for ; ; node++ {
		status, _ := k.call(http.MethodDelete, node, p.id, "", p.deadline)
		if status == http.StatusOK || status == http.StatusGone {
			k.setOnce(&p.record.acknowledged)
			return
		}
		time.Sleep(retryDelay)
	}
}

// call is [Node.Call] with a deadline, to a node by number.
func (k *Callers) call(method string, node int, id, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return k.cell.Nodes[node%len(k.cell.Nodes)].Call(ctx, k.http, method, id, body)
}

// Call returns status and body of a call about a job, or about the route where
// the ID is empty; 0 where there is no answer.
func (n *Node) Call(ctx context.Context, client *http.Client, method, id, body string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Callers+"/x/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "a.example"
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
