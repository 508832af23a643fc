package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand/standin/site"
)

// Callers submit jobs and remember what they were told.
type Callers struct {
	cell *Cell
	http *http.Client

	mu sync.Mutex
	// accepted and rejected are the jobs of which that is sure.
	accepted, rejected map[string]bool
}

// NewCallers returns callers of a cell.
func NewCallers(c *Cell) *Callers {
	return &Callers{cell: c, http: &http.Client{Timeout: 3 * time.Second}, accepted: map[string]bool{}, rejected: map[string]bool{}}
}

// attempts is how often a caller tries to hand a job in.
const attempts = 4

// Submit hands jobs in until ctx ends, about one each interval.
func (k *Callers) Submit(ctx context.Context, r *rand.Rand, interval time.Duration) {
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", n)
		body := randomJob(r)
		first := r.IntN(len(k.cell.Nodes))
		calls.Go(func() { k.hand(id, body, first) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * interval))))
	}
	calls.Wait()
}

func randomJob(r *rand.Rand) string {
	spec := site.Spec{MilliCPU: 500 * int64(1+r.IntN(4)), Work: time.Duration(50+r.IntN(1500)) * time.Millisecond}
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"gang":%t,"estimate_ms":500},{"count":1,"cpu":%d,"after":[0]}]}`,
		spec, 1+r.IntN(4), spec.MilliCPU, r.IntN(3) == 0, spec.MilliCPU)
}

func (k *Callers) hand(id, body string, first int) {
	sure := true
	for try := range attempts {
		switch status, _ := k.call(http.MethodPost, first+try, id, body); status {
		case http.StatusOK:
			k.note(k.accepted, id)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			sure = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	if sure {
		k.note(k.rejected, id)
	}
}

func (k *Callers) note(set map[string]bool, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	set[id] = true
}

// call returns status and body of a call to a node; 0 where there is no answer.
func (k *Callers) call(method string, node int, id, body string) (int, string) {
	n := k.cell.Nodes[node%len(k.cell.Nodes)]
	r, err := http.NewRequest(method, "http://"+n.Callers+"/x/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "a.example"
	reply, err := k.http.Do(r)
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

// Unfinished returns the accepted jobs that are not shown as completed when all
// have been asked for until the time is over.
func (k *Callers) Unfinished(within time.Duration) []string {
	deadline := time.Now().Add(within)
	var left []string
	for id := range k.accepted {
		last := ""
		for n := 0; ; n++ {
			status, text := k.call(http.MethodGet, n, id, "")
			if text == `{"state":"completed"}` {
				break
			}
			last = fmt.Sprint(id, " ", status, " ", text)
			if time.Now().After(deadline) {
				left = append(left, last)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return left
}

// Broken returns the rejected jobs of which a task has begun.
func (k *Callers) Broken() []string {
	var broken []string
	for _, task := range k.cell.Site.Fleet.Started() {
		id, _, _ := strings.Cut(task, ".")
		if k.rejected[id] {
			broken = append(broken, task)
		}
	}
	return broken
}

// Accepted returns how many jobs were accepted and how many surely rejected.
func (k *Callers) Accepted() (accepted, rejected int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.accepted), len(k.rejected)
}
