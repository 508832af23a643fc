package soak_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/soak"
	"lovagestand.example/lovagestand/standin/site"
)

// TestSubmissionArrivesAfterItsCancellation guards against running a job whose
// cancellation was already answered. A node that is paused while it receives the
// submission forwards it only after another node has answered the cancellation
// with 410 Gone, because there was no such job. The job must be cancelled
// without a start.
func TestSubmissionArrivesAfterItsCancellation(t *testing.T) {
	c := qt.New(t)
	cell, err := soak.Open(build(c), t.TempDir(), nodes, workers)
	c.Assert(err, qt.IsNil)
	defer cell.Close()
	const id = "00000000000000aa"
	frozen, other := nonOwners(t, c, cell)
	c.Assert(frozen.Pause(), qt.IsNil)
	answered := make(chan int, 1)
	spec := site.Spec{MilliCPU: 500, Work: 50 * time.Millisecond}
	go func() {
		status, _ := frozen.Call(t.Context(), http.DefaultClient, http.MethodPost, id, `{"spec":"`+spec.String()+`","steps":[{"count":2,"cpu":500}]}`, "")
		answered <- status
	}()
	await(t, func() bool {
		status, _ := other.Call(t.Context(), http.DefaultClient, http.MethodDelete, id, "", "")
		return status == http.StatusGone
	})
	frozen.Signal(syscall.SIGCONT)
	c.Assert(<-answered, qt.Equals, http.StatusOK)
	state := ""
	await(t, func() bool {
		_, state = other.Call(t.Context(), http.DefaultClient, http.MethodGet, id, "", "")
		return state == `{"state":"cancelled"}` || state == `{"state":"completed"}`
	})
	c.Assert(state, qt.Equals, `{"state":"cancelled"}`)
	c.Assert(cell.Site.Fleet.Starts(), qt.Equals, 0)
}

// nonOwners waits until the cell serves callers and returns two nodes that do
// not own the shard.
func nonOwners(t *testing.T, c *qt.C, cell *soak.Cell) (a, b *soak.Node) {
	for _, n := range cell.Nodes {
		await(t, func() bool {
			status, _ := n.Call(t.Context(), http.DefaultClient, http.MethodGet, "", "", "")
			return status == http.StatusOK
		})
	}
	item, err := cell.Site.Keys.Item(t.Context(), election.OwnerKey(layout.FirstShard))
	c.Assert(err, qt.IsNil)
	var owner lovagestand.Instance
	c.Assert(json.Unmarshal(item.Value, &owner), qt.IsNil)
	var others []*soak.Node
	for _, n := range cell.Nodes {
		if n.Name != string(owner.ID) {
			others = append(others, n)
		}
	}
	return others[0], others[1]
}

// await polls ok until it returns true, for as long as the test runs.
func await(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("the test has ended")
		}
		time.Sleep(20 * time.Millisecond)
	}
}
