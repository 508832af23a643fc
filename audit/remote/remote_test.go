package remote_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/standin/fleet"
)

func TestReportedEventsAreAudited(t *testing.T) {
	c := qt.New(t)
	specs := fleet.Glazedesk().WithWorkers(1).Specs()
	a := audit.New(specs)
	server := httptest.NewServer(remote.Handler(a))
	defer server.Close()
	client := remote.NewClient(server.URL)
	now := time.Unix(1000, 0)
	ctx := t.Context()

	c.Assert(client.Submitted(ctx, "k", []byte("due")), qt.IsNil)
	c.Assert(client.Submitted(ctx, "silent", nil), qt.IsNil)
	answer := lovagestand.Answer{Key: "k", Outcome: lovagestand.OutcomeDone, Body: []byte("du")}
	c.Assert(client.Answered(ctx, now, "k", answer), qt.IsNil)
	c.Assert(client.CutOff(ctx, now, "k", "i1", "broken"), qt.IsNil)
	c.Assert(client.InForce(ctx, now, "i1", 2), qt.IsNil)
	c.Assert(client.InForce(ctx, now, "i1", 1), qt.IsNil)
	c.Assert(client.Close(ctx, now), qt.IsNil)
	start := lovagestand.TaskStart{Task: lovagestand.Task{ID: "t", Key: "k"}}
	a.Started(now, specs[0], start)

	found, err := client.Audit(ctx)
	c.Assert(err, qt.IsNil)
	for _, k := range []audit.Kind{audit.KindWrongAnswer, audit.KindCutOff, audit.KindReverted, audit.KindNoAnswer} {
		c.Assert(found.Of(k), qt.Equals, 1, qt.Commentf("%s", k))
	}
	c.Assert(found.Total(), qt.Equals, 4)
	c.Assert(found.Usage.Starts, qt.Equals, 1)
	usage, err := client.Usage(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(usage, qt.Equals, found.Usage)
}
