package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// owner is a simulated owner of one shard. It replies as the test prescribes.
type owner struct {
	mu    sync.Mutex
	shard string
	// blockedUntil, if not nil, delays every call until it is closed.
	blockedUntil chan struct{}
	// loseReplies is the number of replies that are lost after the call took
	// effect.
	loseReplies int
	place       func(*placerpb.PlaceRequest) *placerpb.PlaceReply
	cancel      func(*placerpb.CancelRequest) *placerpb.CancelReply
	placed      []*placerpb.PlaceRequest
	// mayHaveRun is set if the request may have run here through another entry.
	mayHaveRun bool
	// incompleteChecks is the number of checks that are answered before the owner
	// has read the state of its workers.
	incompleteChecks int
}

func (o *owner) Check(_ context.Context, request *placerpb.CheckRequest) (*placerpb.CheckReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.incompleteChecks--
	result := make([]bool, len(request.GetKeys()))
	for i := range result {
		result[i] = !o.mayHaveRun
	}
	return &placerpb.CheckReply{Clear: result, Complete: o.incompleteChecks < 0, Shards: []string{o.shard}}, nil
}

func (o *owner) Place(_ context.Context, request *placerpb.PlaceRequest) (*placerpb.PlaceReply, error) {
	o.mu.Lock()
	o.placed = append(o.placed, request)
	place := o.place
	o.mu.Unlock()
	return place(request), nil
}

func (o *owner) Cancel(_ context.Context, request *placerpb.CancelRequest) (*placerpb.CancelReply, error) {
	if o.cancel == nil {
		return &placerpb.CancelReply{}, nil
	}
	return o.cancel(request), nil
}

func (o *owner) Find(context.Context, *placerpb.FindRequest) (*placerpb.FindReply, error) {
	return &placerpb.FindReply{}, nil
}

func (o *owner) calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.placed)
}

// network is an HTTP transport that calls owners in this process by address.
type network map[string]*owner

// RoundTrip implements [http.RoundTripper].
func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	o := n[r.URL.Host]
	if o.blockedUntil != nil {
		select {
		case <-o.blockedUntil:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	recorder := httptest.NewRecorder()
	placerpb.NewPlacerServer(o).ServeHTTP(recorder, r)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loseReplies > 0 {
		o.loseReplies--
		return nil, context.DeadlineExceeded
	}
	return recorder.Result(), nil
}

// owners reports the instance at address "x" as the owner of shard "r/x".
type owners struct{}

func (owners) Owner(shard lovagestand.ShardName) (lovagestand.Instance, bool) {
	return lovagestand.Instance{Address: string(shard[2:])}, true
}

func (owners) Lease(lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	return lovagestand.OwnershipLease{}, false
}

func (owners) Owned() []lovagestand.ShardName { return nil }

func (owners) Changed() <-chan struct{} { return nil }

// firstUntried chooses the first shard that has not been tried.
type firstUntried []lovagestand.ShardName

// Choose implements [entry.Chooser].
func (shards firstUntried) Choose(task lovagestand.Task, _ int, tried []lovagestand.ShardName) (entry.Target, error) {
	excluded := make(map[lovagestand.ShardName]bool)
	for _, s := range tried {
		excluded[s] = true
	}
	for _, s := range shards {
		if !excluded[s] {
			return entry.Target{Shard: s}, nil
		}
	}
	return entry.Target{}, &entry.NoTargetError{Pool: task.Pool, Reason: "none left"}
}

// routes has an idempotent urgent route "quote" and a batch route "plan" that
// needs a claim.
type routes struct{}

// Ready implements [entry.Routes].
func (routes) Ready() bool { return true }

// Route implements [entry.Routes].
func (routes) Route(name lovagestand.RouteName) (entry.Route, bool) {
	r := entry.Route{Name: name, Pool: "runners", Class: lovagestand.ClassBatch, StartWithin: time.Minute}
	if name == "quote" {
		r.Idempotent = true
		r.Class = lovagestand.ClassUrgent
	}
	return r, name == "quote" || name == "plan"
}

// grantAll grants every claim immediately and records the settled answers.
type grantAll struct {
	mu         sync.Mutex
	soleHolder bool
	settled    []lovagestand.Answer
}

// Claim implements [entry.Claims].
func (g *grantAll) Claim(_ context.Context, r entry.ClaimRequest) (entry.Claim, error) {
	return entry.Claim{Created: time.Now(), Task: "claimed", Shard: r.Shard, StartBy: r.Request.StartBy, SoleHolder: g.soleHolder}, nil
}

// Settle implements [entry.Claims].
func (g *grantAll) Settle(_ context.Context, _ entry.Claim, a lovagestand.Answer) lovagestand.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled = append(g.settled, a)
	return a
}

// admitAll admits every request.
type admitAll struct{}

// Admit implements [entry.Limiter].
func (admitAll) Admit(entry.Route, lovagestand.TeamName) (func(), error) { return func() {}, nil }

// maxHeldBytes is the room for large bodies in a fixture.
const maxHeldBytes = 100 << 10

// fixture is an entry with two simulated owners.
type fixture struct {
	*qt.C
	entry  *entry.Entry
	first  *owner
	second *owner
	claims *grantAll
}

// inBubble runs f with a fixture in a bubble of package synctest.
func inBubble(t *testing.T, f func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{
			C:      qt.New(t),
			first:  &owner{place: done, shard: "r/first"},
			second: &owner{place: done, shard: "r/second"},
			claims: &grantAll{soleHolder: true},
		}
		x.entry = entry.New(entry.Deps{
			Routes:    routes{},
			Limiter:   admitAll{},
			Chooser:   firstUntried{"r/first", "r/second"},
			Claims:    x.claims,
			Ownership: owners{},
			Shards:    func() []lovagestand.ShardName { return []lovagestand.ShardName{"r/first", "r/second"} },
			Peers: func() []lovagestand.Instance {
				return []lovagestand.Instance{{Address: "first"}, {Address: "second"}}
			},
			Client:      &http.Client{Transport: network{"first": x.first, "second": x.second}},
			MaybePaused: func() bool { return true },
			Log:         zerolog.Nop(),

			MaxHeldBytes: maxHeldBytes,
		})
		f(x)
	})
}

// submit submits a request and waits for its final answer. It returns the answer
// and how long it took.
func (x *fixture) submit(route lovagestand.RouteName) (lovagestand.Answer, time.Duration) {
	begun := time.Now()
	r := lovagestand.Request{Key: "k", Route: route, Team: "showroom", Body: []byte("body")}
	p, err := x.entry.Submit(r)
	x.Assert(err, qt.IsNil)
	<-p.Done()
	return p.Answer(), time.Since(begun)
}

func done(request *placerpb.PlaceRequest) *placerpb.PlaceReply {
	return answered(request, lovagestand.OutcomeDone)
}

func notRun(request *placerpb.PlaceRequest) *placerpb.PlaceReply {
	return answered(request, lovagestand.OutcomeNotRun)
}

func answered(request *placerpb.PlaceRequest, outcome lovagestand.Outcome) *placerpb.PlaceReply {
	return &placerpb.PlaceReply{
		Status: placerpb.Status_STATUS_FINAL,
		Answer: &placerpb.Answer{Key: request.GetTask().GetKey(), Outcome: string(outcome), Body: request.GetBody()},
	}
}

func status(s placerpb.Status) func(*placerpb.PlaceRequest) *placerpb.PlaceReply {
	return func(*placerpb.PlaceRequest) *placerpb.PlaceReply {
		return &placerpb.PlaceReply{Status: s, Reason: "scripted"}
	}
}
