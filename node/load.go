package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/shard"
)

const (
	// pathLoad is the path under which the owner of a shard answers its load to the owners
	// of others.
	pathLoad = "/cell/load"
	// maxLoadBytes bounds the answer that is read.
	maxLoadBytes = 1 << 20
)

// shardLoad returns the load of a shard as its owner answers it.
func (n *Node) shardLoad(ctx context.Context, name string) (dispatch.ShardLoad, error) {
	owner, owned := n.directory.Owner(name)
	switch {
	case !owned:
		return dispatch.ShardLoad{}, &shard.NotOwnerError{}
	case owner.ID == n.self.ID:
		return n.cell.load(name)
	}
	address := fmt.Sprintf("http://%s%s/%s", owner.Address, pathLoad, url.PathEscape(name))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return dispatch.ShardLoad{}, &NoAnswerError{Err: err}
	}
	var load dispatch.ShardLoad
	if err := n.askOwner(request, maxLoadBytes, &load); err != nil {
		return dispatch.ShardLoad{}, err
	}
	return load, nil
}

// serveLoad answers the load of a shard that this instance owns.
func (n *Node) serveLoad(w http.ResponseWriter, r *http.Request) {
	load, err := n.cell.load(chi.URLParam(r, "shard"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(load)
}

// load returns the load of a shard that this instance owns.
func (c *cellServer) load(name string) (dispatch.ShardLoad, error) {
	s := c.ownedShard(name)
	if s == nil {
		return dispatch.ShardLoad{}, &shard.NotOwnerError{}
	}
	return s.ShardLoad()
}
