package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/standin/site"
)

// slowOwner is an owner that does not answer the first submission of a job in time
// and rejects all others.
type slowOwner struct {
	cellpb.Cell

	mu sync.Mutex
	// submissions counts the submissions of each job.
	submissions map[string]int
}

// submitted counts a number of further submissions of a job and returns their sum.
func (o *slowOwner) submitted(id string, more int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submissions[id] += more
	return o.submissions[id]
}

func (o *slowOwner) Submit(ctx context.Context, r *cellpb.SubmitRequest) (*cellpb.SubmitReply, error) {
	if o.submitted(r.GetId(), 1) == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &cellpb.SubmitReply{Verdict: cellpb.Verdict_VERDICT_REJECTED, Reason: "the store does not answer", RetryAfterMillis: 1000}, nil
}

func (*slowOwner) Ping(context.Context, *cellpb.PingRequest) (*cellpb.PingReply, error) {
	return &cellpb.PingReply{}, nil
}

// TestRejectionAfterACallWithUnknownOutcome has an owner reject a job while an
// earlier call with the same job is unanswered. That call may still have the job
// accepted, so the caller must not receive the rejection.
func TestRejectionAfterACallWithUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	owner := &slowOwner{submissions: map[string]int{}}
	served := httptest.NewServer(cellpb.NewCellServer(owner))
	defer served.Close()
	s, err := site.Open("127.0.0.1:0", 0)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	s.Keys.Put(election.LayoutKey, []byte(`{"shards":1}`))
	s.Keys.Put(election.OwnerKey(layout.FirstShard), fmt.Appendf(nil, `{"id":"other","address":%q}`, strings.TrimPrefix(served.URL, "http://")))
	c.Assert(s.Configure(1, "a.example", "/x/"), qt.IsNil)
	gateway := start(c, s, "node-0")
	defer func() { gateway.cancel(); <-gateway.done }()
	n := 0
	eventually(t, "the owner was not called a second time within one call of the gateway", func() bool {
		// On a busy machine a call may end after its first attempt, so each has its own job.
		n++
		id := fmt.Sprintf("%016x", n)
		status, _ := gateway.call(c, http.MethodPost, "/x/"+id, `{"steps":[{"count":1,"cpu":500}]}`)
		submissions := owner.submitted(id, 0)
		c.Assert(submissions == 0 || status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d after %d attempts", status, submissions))
		return submissions > 1
	})
}
