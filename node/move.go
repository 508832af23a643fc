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

	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/layout"
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

// mover returns the function that passes jobs on to the owners of other shards; nil in a
// cell with one shard.
func (n *Node) mover(l layout.Layout) func(context.Context, string, job.ID, []byte) error {
	if l.Shards == 1 {
		return nil
	}
	return n.moveJob
}

// moveJob passes a job on to the owner of another shard.
func (n *Node) moveJob(ctx context.Context, name string, id job.ID, value []byte) error {
	owner, owned := n.directory.Owner(name)
	switch {
	case !owned:
		return &shard.NotOwnerError{}
	case owner.ID == n.self.ID:
		return n.cell.receive(ctx, name, id, value)
	}
	address := fmt.Sprintf("http://%s%s/%s/%s", owner.Address, pathMove, url.PathEscape(name), url.PathEscape(string(id)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(value))
	if err != nil {
		return &NoAnswerError{Err: err}
	}
	reply, err := n.peers.http.Do(request)
	if err != nil {
		return &NoAnswerError{Err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	switch reply.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return &shard.OtherTeamError{}
	case http.StatusServiceUnavailable:
		return &shard.NotOwnerError{}
	}
	// An instance of an earlier version answers 404.
	return &NoAnswerError{Err: errors.Errorf("status %d", reply.StatusCode)}
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
	switch {
	case err == nil:
	case errors.As(err, &otherTeam):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &notOwner):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// receive passes a job on to a shard that this instance owns.
func (c *cellServer) receive(ctx context.Context, name string, id job.ID, value []byte) error {
	s := c.ownedShard(name)
	if s == nil {
		return &shard.NotOwnerError{}
	}
	return s.Receive(ctx, id, value)
}
