// Package tablepeer transfers the tables in force between instances over HTTP.
package tablepeer

import (
	"context"
	"math"
	"net/http"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/table/tablepb"
)

// Handler returns the HTTP handler that serves the tables of a follower to peers,
// and the path prefix at which to mount it.
func Handler(f *table.Follower) (prefix string, handler http.Handler) {
	server := tablepb.NewTablesServer(&service{follower: f})
	return server.PathPrefix(), server
}

type service struct {
	follower *table.Follower
}

// Pull implements [tablepb.Tables].
func (s *service) Pull(_ context.Context, r *tablepb.PullRequest) (*tablepb.PullResponse, error) {
	if r.GetInstance() != "" && r.GetAfter() < math.MaxUint64 {
		peer := lovagestand.Instance{ID: lovagestand.InstanceID(r.GetInstance()), Address: r.GetAddress()}
		s.follower.RecordPeerRevision(peer, table.Revision(r.GetAfter()))
	}
	revision, data := s.follower.Encoded()
	response := &tablepb.PullResponse{Revision: uint64(revision)}
	if uint64(revision) > r.GetAfter() {
		response.Data = data
	}
	return response, nil
}

// Puller returns a function that pulls records from peers. It identifies itself to
// them as self.
func Puller(client *http.Client, self lovagestand.Instance) table.PullFunc {
	return func(ctx context.Context, peer lovagestand.Instance, after table.Revision) (table.Revision, []byte, error) {
		remote := tablepb.NewTablesProtobufClient("http://"+peer.Address, client)
		response, err := remote.Pull(ctx, &tablepb.PullRequest{
			After: uint64(after), Instance: string(self.ID), Address: self.Address,
		})
		if err != nil {
			return 0, nil, err
		}
		return table.Revision(response.GetRevision()), response.GetData(), nil
	}
}
