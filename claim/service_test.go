package claim

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim/claimpb"
)

// cannedServer returns the same reply to every call.
type cannedServer struct {
	claim   Claim
	err     error
	request Request
}

func (s *cannedServer) Claim(_ context.Context, r Request) (Claim, error) {
	s.request = r
	return s.claim, s.err
}

func (s *cannedServer) Settle(_ context.Context, _ Settlement) (Claim, error) {
	return s.claim, s.err
}

func TestRemoteServer(t *testing.T) {
	at := time.Unix(1700000000, 123)
	canned := &cannedServer{}
	server := httptest.NewServer(claimpb.NewClaimsServer(NewService(canned)))
	defer server.Close()
	remote := NewRemote(claimpb.NewClaimsProtobufClient(server.URL, http.DefaultClient))
	r := Request{ID: "1", Key: "k", Fingerprint: 3, Shard: "s", StartBy: at, Retention: time.Hour, Rerun: true}

	t.Run("claim", func(t *testing.T) {
		c := qt.New(t)
		canned.claim = Claim{
			Key: "k", Fingerprint: 3, Attempt: 2, Task: "t", Shard: "s", Created: at, StartBy: at,
			Outcome: lovagestand.OutcomeDone, Reason: "r", EarlierMayHaveRun: true, OutcomeRecordedAt: at, Retention: time.Hour, ValidUntil: at,
		}
		claim, err := remote.Claim(context.Background(), r)
		c.Assert(err, qt.IsNil)
		c.Assert(claim, qt.DeepEquals, canned.claim)
		c.Assert(canned.request, qt.DeepEquals, r)
	})
	for _, typed := range []error{
		&MismatchError{Key: "k", Requested: 1, Found: 2},
		&NotGrantedError{Key: "k", Reason: "r", ValidUntil: at},
		&AmbiguousError{Key: "k", Reason: "r"},
		&NotOwnerError{Partition: "claims/1"},
		&StaleError{Key: "k", Task: "t", Last: "u"},
		&TooEarlyError{Key: "k", After: at},
		&InvalidError{Key: "k", Reason: "r"},
	} {
		t.Run(typed.Error(), func(t *testing.T) {
			c := qt.New(t)
			canned.err = typed
			_, err := remote.Settle(context.Background(), Settlement{Key: "k", Task: "t"})
			c.Assert(errors.Cause(err), qt.DeepEquals, typed)
		})
	}
}
