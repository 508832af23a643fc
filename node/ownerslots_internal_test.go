package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// unansweringCell answers no query until its end.
type unansweringCell struct {
	cellpb.Cell
	end chan bool
}

func (o *unansweringCell) State(context.Context, *cellpb.JobRequest) (*cellpb.StateReply, error) {
	<-o.end
	return &cellpb.StateReply{Verdict: cellpb.Verdict_VERDICT_OK}, nil
}

func (o *unansweringCell) Submit(context.Context, *cellpb.SubmitRequest) (*cellpb.SubmitReply, error) {
	return &cellpb.SubmitReply{Verdict: cellpb.Verdict_VERDICT_OK}, nil
}

// TestQueriesKeepNoSubmissionOut guards against callers that ask an instance for so many jobs
// that it opens a connection to the owner for each, and against submissions that are rejected
// because of them.
func TestQueriesKeepNoSubmissionOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		self := lovagestand.Instance{ID: "i0"}
		keys := keyspace.New()
		keys.Put(election.OwnerKey("0"), []byte(`{"id":"i0"}`))
		directory := election.NewDirectory(keys, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() { directory.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		time.Sleep(time.Second)
		owner := &unansweringCell{end: make(chan bool)}
		client := &ownerClient{shard: "0", self: self, directory: directory, slots: newOwnerSlots(2), local: owner, log: zerolog.Nop()}
		outcomes := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := client.State(t.Context(), "0000000000000001", "")
				outcomes <- err
			}()
		}
		var rejected *shard.RejectedError
		c.Assert(<-outcomes, qt.ErrorAs, &rejected)
		c.Assert(rejected.RetryAfter > 0, qt.IsTrue)
		c.Assert(client.Submit(t.Context(), job.Job{ID: "0000000000000002"}, 1), qt.IsNil)
		close(owner.end)
		c.Assert(<-outcomes, qt.IsNil)
		c.Assert(<-outcomes, qt.IsNil)
	})
}
