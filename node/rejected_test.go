package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/standin/site"
)

// slowOwner is an owner that does not answer the first submission in time and
// rejects all others.
type slowOwner struct {
	cellpb.Cell
	submissions atomic.Int64
}

func (o *slowOwner) Submit(ctx context.Context, _ *cellpb.SubmitRequest) (*cellpb.SubmitReply, error) {
	if o.submissions.Add(1) == 1 {
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
	owner := &slowOwner{}
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
	eventually(t, "the owner was not called a second time", func() bool {
		status, _ := gateway.call(c, http.MethodPost, "/x/00000000000000aa", `{"steps":[{"count":1,"cpu":500}]}`)
		c.Assert(owner.submissions.Load() == 0 || status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d", status))
		return owner.submissions.Load() > 1
	})
}
