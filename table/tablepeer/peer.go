// Package tablepeer carries tables in force between instances over HTTP.
package tablepeer

import (
	"context"
	"net/http"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/table/tablepb"
)

// Handler returns the HTTP handler that serves a follower's tables to peers,
// and the path prefix to mount it at.
func Handler(f *table.Follower) (prefix string, handler http.Handler) {
	server := tablepb.NewTablesServer(&service{follower: f})
	return server.PathPrefix(), server
}

type service struct {
	follower *table.Follower
}

// Pull implements tablepb.Tables.
func (s *service) Pull(_ context.Context, r *tablepb.PullRequest) (*tablepb.PullResponse, error) {
	revision, data := s.follower.Encoded()
	response := &tablepb.PullResponse{Revision: uint64(revision)}
	if uint64(revision) > r.GetAfter() {
		response.Data = data
	}
	return response, nil
}

// Puller returns a function that pulls from peers with an HTTP client.
func Puller(client *http.Client) table.Pull {
	return func(ctx context.Context, peer lovagestand.Instance, after table.Revision) (table.Revision, []byte, error) {
		remote := tablepb.NewTablesProtobufClient("http://"+peer.Address, client)
		response, err := remote.Pull(ctx, &tablepb.PullRequest{After: uint64(after)})
		if err != nil {
			return 0, nil, err
		}
		return table.Revision(response.GetRevision()), response.GetData(), nil
	}
}
