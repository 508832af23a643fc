package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// urgentStartDeadline is the time within which an urgent request must start.
const urgentStartDeadline = 1400 * time.Millisecond

func TestLostReplyAttachesToTheSameTask(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.loseReplies = 1
		a, _ := x.submit("plan")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert(x.first.calls(), qt.Equals, 2)
		x.Assert(x.first.placed[0].GetTask().GetId(), qt.Equals, x.first.placed[1].GetTask().GetId())
		x.Assert(x.first.placed[0].GetResubmitted(), qt.IsFalse)
		x.Assert(x.first.placed[1].GetResubmitted(), qt.IsTrue)
		x.Assert(x.second.calls(), qt.Equals, 0)
	})
}

func TestUrgentRequestMovesFromAnUnreachableOwner(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.blockedUntil = make(chan struct{})
		a, waited := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert(waited < urgentStartDeadline, qt.IsTrue, qt.Commentf("%v", waited))
		x.Assert(x.second.calls(), qt.Equals, 1)
	})
}

func TestClaimedRequestStaysWithItsShard(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.blockedUntil = make(chan struct{})
		time.AfterFunc(15*time.Second, func() { close(x.first.blockedUntil) })
		a, _ := x.submit("plan")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert(x.second.calls(), qt.Equals, 0)
	})
}

func TestRequestIsNotRunIfAllShardsAreFull(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = status(placerpb.Status_STATUS_FULL)
		x.second.place = status(placerpb.Status_STATUS_FULL)
		a, waited := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(a.RetryAfter > 0, qt.IsTrue)
		x.Assert(waited < time.Second, qt.IsTrue)
	})
}

// firstBlockedSecondFull makes the first owner unresponsive, so that it may hold
// the request, and makes the second owner refuse it.
func firstBlockedSecondFull(x *fixture) {
	x.first.blockedUntil = make(chan struct{})
	x.second.place = status(placerpb.Status_STATUS_FULL)
}

func TestOutcomeIsUnknownWhileAnOwnerMayHoldTheRequest(t *testing.T) {
	inBubble(t, func(x *fixture) {
		firstBlockedSecondFull(x)
		a, _ := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestWithdrawnRequestIsNotRun(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.loseReplies = 1000
		x.first.cancel = func(*placerpb.CancelRequest) *placerpb.CancelReply {
			x.first.loseReplies = 0
			return &placerpb.CancelReply{Found: true, Answer: &placerpb.Answer{Outcome: "notRun"}}
		}
		x.second.place = status(placerpb.Status_STATUS_FULL)
		time.AfterFunc(2*time.Second, func() {
			x.first.mu.Lock()
			defer x.first.mu.Unlock()
			x.first.loseReplies = 0
			x.first.place = status(placerpb.Status_STATUS_FULL)
		})
		a, _ := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
	})
}

func TestOutcomeIsUnknownIfTheOwnerStaysUnreachable(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.blockedUntil = make(chan struct{})
		a, _ := x.submit("plan")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		for _, s := range x.claims.settled {
			x.Assert(s.Outcome, qt.Not(qt.Equals), lovagestand.OutcomeNotRun)
		}
	})
}

func TestRepeatedClaimIsResubmitted(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.claims.soleHolder = false
		a, _ := x.submit("plan")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert(x.first.placed[0].GetResubmitted(), qt.IsTrue)
	})
}

func TestKeyCanBeRetriedAfterNotRun(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = notRun
		r := lovagestand.Request{Key: "k", Route: "quote", Team: "showroom"}
		p, err := x.entry.Submit(r)
		x.Assert(err, qt.IsNil)
		<-p.Done()
		x.first.place = done
		p, err = x.entry.Submit(r)
		x.Assert(err, qt.IsNil)
		<-p.Done()
		first, second := x.first.placed[0].GetTask().GetId(), x.first.placed[1].GetTask().GetId()
		x.Assert(first, qt.Not(qt.Equals), second)
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	submit := func(x *fixture, change func(*lovagestand.Request)) error {
		r := lovagestand.Request{Key: "k", Route: "quote", Team: "showroom"}
		change(&r)
		_, err := x.entry.Submit(r)
		return err
	}
	for name, change := range map[string]func(*lovagestand.Request){
		"key":       func(r *lovagestand.Request) { r.Key = "a~b" },
		"team":      func(r *lovagestand.Request) { r.Team = "" },
		"tasks":     func(r *lovagestand.Request) { r.Tasks = 2 },
		"resources": func(r *lovagestand.Request) { r.Resources.MilliCPU = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(x *fixture) {
				var invalid *entry.InvalidError
				x.Assert(submit(x, change), qt.ErrorAs, &invalid)
				x.Assert(invalid.Field, qt.Equals, name)
			})
		})
	}
	t.Run("route", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			var unknown *entry.UnknownRouteError
			x.Assert(submit(x, func(r *lovagestand.Request) { r.Route = "none" }), qt.ErrorAs, &unknown)
		})
	})
}

func TestCancelReachesTheOwnerDuringPlace(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = func(m *placerpb.PlaceRequest) *placerpb.PlaceReply {
			time.Sleep(5 * time.Second)
			return answered(m, lovagestand.OutcomeCancelled)
		}
		cancels := make(chan string, 10)
		x.first.cancel = func(m *placerpb.CancelRequest) *placerpb.CancelReply {
			cancels <- m.GetKey()
			return &placerpb.CancelReply{Found: true}
		}
		r := lovagestand.Request{Key: "k", Route: "plan", Team: "showroom"}
		p, err := x.entry.Submit(r)
		x.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		x.Assert(x.entry.Cancel("k"), qt.IsTrue)
		x.Assert(<-cancels, qt.Equals, "k")
		<-p.Done()
		x.Assert(p.Answer().Outcome, qt.Equals, lovagestand.OutcomeCancelled)
	})
}

func TestCancelBeforePlacementIsNotRun(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = status(placerpb.Status_STATUS_NOT_OWNER)
		p, err := x.entry.Submit(lovagestand.Request{Key: "k", Route: "plan", Team: "showroom"})
		x.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		x.Assert(x.entry.Cancel("k"), qt.IsTrue)
		<-p.Done()
		x.Assert(p.Answer().Outcome, qt.Equals, lovagestand.OutcomeNotRun)
	})
}

func TestRequestWaitsForShardsToGetAnOwner(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = status(placerpb.Status_STATUS_NOT_OWNER)
		x.second.place = status(placerpb.Status_STATUS_NOT_OWNER)
		time.AfterFunc(2*time.Second, func() {
			x.first.mu.Lock()
			defer x.first.mu.Unlock()
			x.first.place = done
		})
		a, _ := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone)
	})
}

func TestOutcomeIsUnknownIfAnotherInstanceMayHaveRunIt(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = status(placerpb.Status_STATUS_FULL)
		x.second.place = status(placerpb.Status_STATUS_FULL)
		x.second.mayHaveRun = true
		a, _ := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestNotRunIsCheckedAgainWhileOwnersCannotConfirmIt(t *testing.T) {
	for incomplete, outcome := range map[int]lovagestand.Outcome{
		0: lovagestand.OutcomeNotRun, 2: lovagestand.OutcomeNotRun, 1000: lovagestand.OutcomeUnknown,
	} {
		t.Run(fmt.Sprint(incomplete, " incomplete replies"), func(t *testing.T) {
			inBubble(t, func(x *fixture) {
				x.first.place = status(placerpb.Status_STATUS_FULL)
				x.second.place = status(placerpb.Status_STATUS_FULL)
				x.second.incompleteChecks = incomplete
				a, took := x.submit("quote")
				x.Assert(a.Outcome, qt.Equals, outcome, qt.Commentf("%s", a.Reason))
				x.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}

func TestNotRunNeedsTheConfirmationOfAllOwners(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = status(placerpb.Status_STATUS_FULL)
		x.second.place = status(placerpb.Status_STATUS_FULL)
		x.second.shard = "r/other"
		a, _ := x.submit("quote")
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestCancelIsUnknownIfAnEarlierOwnerMayHaveStartedIt(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.place = func(*placerpb.PlaceRequest) *placerpb.PlaceReply {
			return &placerpb.PlaceReply{Status: placerpb.Status_STATUS_NOT_OWNER, Doubt: true}
		}
		p, err := x.entry.Submit(lovagestand.Request{Key: "k", Route: "plan", Team: "showroom"})
		x.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		x.Assert(x.entry.Cancel("k"), qt.IsTrue)
		<-p.Done()
		x.Assert(p.Answer().Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestDuplicateWithoutACallerIsNotProcessed(t *testing.T) {
	inBubble(t, func(x *fixture) {
		router := chi.NewRouter()
		x.entry.Mount(router)
		ctx, hangUp := context.WithCancel(context.Background())
		hangUp()
		body := strings.NewReader(`{"key":"k","route":"quote","team":"showroom"}`)
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/requests?wait=1s", body)
		router.ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(time.Minute)
		x.Assert(x.first.calls()+x.second.calls(), qt.Equals, 0)
	})
}

func TestStartDeadlineIsCappedForClaimedRequestsOnly(t *testing.T) {
	for route, capped := range map[lovagestand.RouteName]bool{"quote": false, "plan": true} {
		t.Run(string(route), func(t *testing.T) {
			inBubble(t, func(x *fixture) {
				hour := time.Now().Add(time.Hour)
				p, err := x.entry.Submit(lovagestand.Request{Key: "k", Route: route, Team: "showroom", StartBy: hour})
				x.Assert(err, qt.IsNil)
				<-p.Done()
				x.Assert(x.first.placed[0].GetTask().GetStartBy() < hour.UnixNano(), qt.Equals, capped)
			})
		})
	}
}

// TestLargeBodiesAreBounded guards against callers whose waiting requests hold more than the
// memory of the instance. Small requests are accepted meanwhile.
func TestLargeBodiesAreBounded(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.first.blockedUntil = make(chan struct{})
		submit := func(key, size int) (entry.Handle, error) {
			return x.entry.Submit(lovagestand.Request{Key: lovagestand.RequestKey(fmt.Sprint(key)), Route: "quote", Team: "showroom", Body: make([]byte, size)})
		}
		held, err := submit(1, 60<<10)
		x.Assert(err, qt.IsNil)
		var limited *entry.LimitedError
		_, err = submit(2, 60<<10)
		x.Assert(err, qt.ErrorAs, &limited)
		x.Assert(limited.RetryAfter > 0, qt.IsTrue)
		small, err := submit(3, 1<<10)
		x.Assert(err, qt.IsNil)
		close(x.first.blockedUntil)
		<-held.Done()
		<-small.Done()
		next, err := submit(4, 60<<10)
		x.Assert(err, qt.IsNil)
		<-next.Done()
		again, err := submit(1, 60<<10)
		x.Assert(err, qt.IsNil, qt.Commentf("a duplicate of a request with an answer takes no room"))
		<-again.Done()
	})
}
