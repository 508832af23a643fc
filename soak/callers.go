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
	jobs map[string]*record

	mu sync.Mutex
	// violations and excused are the answers that break a rule; the excused ones
	// came from nodes that were not in touch.
	violations, excused []string
}

// record is what callers know of a job. The times are those of the first answer
// that says so, and cancelled that of the first DELETE.
type record struct {
	accepted, cancelled, acknowledged, completed time.Time
	// rejected says that all attempts were surely rejected.
	rejected bool
}

// NewCallers returns callers of a cell.
func NewCallers(c *Cell) *Callers {
	// Connections stay open until the process at the other end is gone.
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Callers{cell: c, http: &http.Client{Transport: transport}, jobs: map[string]*record{}}
}

const (
	// attempts is how often a caller tries to hand a job in.
	attempts = 4
	// retryDelay spaces the attempts of one caller.
	retryDelay = 300 * time.Millisecond
)

// plan is what happens to one job.
type plan struct {
	id, body string
	known    *record
	// node is the first that is asked.
	node     int
	deadline time.Duration
	// copies are sent so long after the caller was last answered or gave up.
	copies []time.Duration
	looks  []time.Duration
	// cancel says that the job is cancelled so long after that, and giveUp that
	// this comes after the first answer that leaves the outcome open.
	cancel, giveUp bool
	cancelAfter    time.Duration
	// twice are the cancellations sent at the same time.
	twice int
}

// Submit hands jobs in until ctx ends, about one each interval, and returns when
// all that was planned for them is over.
func (k *Callers) Submit(ctx context.Context, r *rand.Rand, interval time.Duration) {
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		p := newPlan(r, n, len(k.cell.Nodes))
		k.jobs[p.id] = p.known
		calls.Go(func() { k.play(p) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * interval))))
	}
	calls.Wait()
}

// upTo returns a random time between two bounds.
func upTo(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

func newPlan(r *rand.Rand, n, nodes int) plan {
	p := plan{
		known: &record{}, id: fmt.Sprintf("%016x", n), node: r.IntN(nodes), deadline: upTo(r, 500*time.Millisecond, 3*time.Second),
		cancel: r.IntN(3) == 0, giveUp: r.IntN(2) == 0, twice: 1 + r.IntN(2),
	}
	if p.cancelAfter = upTo(r, 0, 300*time.Millisecond); r.IntN(2) == 0 {
		p.cancelAfter = upTo(r, 0, 4*time.Second)
	}
	for range r.IntN(3) {
		p.copies = append(p.copies, upTo(r, 300*time.Millisecond, 6*time.Second))
		p.looks = append(p.looks, upTo(r, 0, 4*time.Second))
	}
	spec := site.Spec{MilliCPU: 500 * int64(1+r.IntN(4)), Work: upTo(r, 50*time.Millisecond, time.Second)}
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

// play does what is planned for a job.
func (k *Callers) play(p plan) {
	if k.hand(p) {
		k.mu.Lock()
		defer k.mu.Unlock()
		p.known.rejected = true
		return
	}
	var calls sync.WaitGroup
	for i, after := range p.copies {
		calls.Go(func() {
			time.Sleep(after)
			k.submit(p, p.node+1+i)
		})
	}
	for i, after := range p.looks {
		calls.Go(func() {
			time.Sleep(after)
			k.look(p.id, p.known, p.node+i)
		})
	}
	if p.cancel {
		time.Sleep(p.cancelAfter)
		for i := range p.twice {
			calls.Go(func() { k.cancel(p, p.node+i) })
		}
	}
	calls.Wait()
}

// hand tries to hand a job in and reports whether it was surely rejected.
func (k *Callers) hand(p plan) bool {
	sure := true
	for try := range attempts {
		switch k.submit(p, p.node+try) {
		case http.StatusOK:
			return false
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			sure = false
		}
		if !sure && p.cancel && p.giveUp {
			return false
		}
		time.Sleep(retryDelay)
	}
	return sure
}

func (k *Callers) submit(p plan, node int) int {
	status, _ := k.call(http.MethodPost, node, p.id, p.body, p.deadline)
	if status == http.StatusOK {
		k.mark(&p.known.accepted)
	}
	return status
}

// mark sets a time that is not set yet.
func (k *Callers) mark(at *time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
}

// cancel asks until it is answered, each time another node.
func (k *Callers) cancel(p plan, node int) {
	k.mark(&p.known.cancelled)
	for ; ; node++ {
		status, _ := k.call(http.MethodDelete, node, p.id, "", p.deadline)
		if status == http.StatusOK || status == http.StatusGone {
			k.mark(&p.known.acknowledged)
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
