package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

const (
	// pathMove is the path under which the owner of a shard passes a job on to the owner of
	// another one.
	pathMove = "/cell/move"
	// maxMoveBytes bounds the record of a job that is passed on. The store holds no larger
	// one.
	maxMoveBytes = 16 << 20
)

// moveJob passes a job on to the owner of another shard.
func (n *Node) moveJob(ctx context.Context, name string, id job.ID, value []byte) error {
	owner, owned := n.directory.Owner(name)
	switch {
	case !owned:
		return &shard.NotOwnerError{}
	case owner.ID == n.self.ID:
		return n.cell.receive(ctx, name, id, value)
	}
	status, err := n.callOwner(ctx, http.MethodPost, owner, name, id, value)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return &shard.OtherTeamError{}
	case status == http.StatusServiceUnavailable:
		return &shard.NotOwnerError{}
	}
	// An instance of an earlier version answers 404.
	return &NoAnswerError{Err: errors.Errorf("status %d", status)}
}

// knowsJob reports whether the owner of another shard knows a job.
func (n *Node) knowsJob(ctx context.Context, name string, id job.ID) (bool, error) {
	owner, owned := n.directory.Owner(name)
	switch {
	case !owned:
		return false, &shard.NotOwnerError{}
	case owner.ID == n.self.ID:
		return n.cell.knows(ctx, name, id)
	}
	status, err := n.callOwner(ctx, http.MethodGet, owner, name, id, nil)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusOK || status == http.StatusNotFound:
		return status == http.StatusOK, nil
	}
	// An instance of an earlier version answers 405.
	return false, &NoAnswerError{Err: errors.Errorf("status %d", status)}
}

// callOwner makes a call about a job that moves to the owner of its other shard, and returns
// the status of the reply.
func (n *Node) callOwner(ctx context.Context, method string, owner election.Owner, name string, id job.ID, body []byte) (int, error) {
	address := fmt.Sprintf("http://%s%s/%s/%s", owner.Address, pathMove, url.PathEscape(name), url.PathEscape(string(id)))
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, &NoAnswerError{Err: err}
	}
	reply, err := n.peers.http.Do(request)
	if err != nil {
		return 0, &NoAnswerError{Err: err}
	}
	return reply.StatusCode, reply.Body.Close()
}

// serveMove accepts a job from the owner of another shard.
func (n *Node) serveMove(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxMoveBytes))
	if err != nil {
		http.Error(w, "body is not complete", http.StatusBadRequest)
		return
	}
	err = n.cell.receive(r.Context(), chi.URLParam(r, "shard"), job.ID(chi.URLParam(r, "job")), value)
	var otherTeam *shard.OtherTeamError
	var notOwner *shard.NotOwnerError
	var rejected *shard.RejectedError
	switch {
	case err == nil:
	case errors.As(err, &otherTeam):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &notOwner), errors.As(err, &rejected):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// serveKnows answers whether a job is known in a shard.
func (n *Node) serveKnows(w http.ResponseWriter, r *http.Request) {
	known, err := n.cell.knows(r.Context(), chi.URLParam(r, "shard"), job.ID(chi.URLParam(r, "job")))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !known:
		http.Error(w, "no such job", http.StatusNotFound)
	}
}

// knows reports whether a job is known in a shard that this instance owns.
func (c *cellServer) knows(ctx context.Context, name string, id job.ID) (bool, error) {
	s := c.ownedShard(name)
	if s == nil {
		return false, &shard.NotOwnerError{}
	}
	return s.Knows(ctx, id)
}

// receive passes a job on to a shard that this instance owns.
func (c *cellServer) receive(ctx context.Context, name string, id job.ID, value []byte) error {
	s := c.ownedShard(name)
	if s == nil {
		return &shard.NotOwnerError{}
	}
	return s.Receive(ctx, id, value)
}
