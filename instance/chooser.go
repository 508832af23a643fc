package instance

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/peer"
	"lovagestand.example/lovagestand/region"
	"lovagestand.example/lovagestand/table"
)

// noTargetRetryAfter is how long a caller should wait before it retries while there
// is no shard left to try.
const noTargetRetryAfter = 2 * time.Second

// chooser chooses among the shards that serve a pool, based on the digests that
// their owners publish.
type chooser struct {
	peers     *peer.Peer
	costAware *region.CostAware
}

// newChooser returns the chooser of an instance. It takes the weights of routes
// from the tables in force.
func newChooser(self lovagestand.Instance, peers *peer.Peer, follower *table.Follower) *chooser {
	weights := func(route lovagestand.RouteName) region.Weights { return weightsOf(follower, route) }
	return &chooser{
		peers:     peers,
		costAware: region.NewCostAware(self.Region, region.WithWeights(weights)),
	}
}

// weightsOf returns the weights of a route in the tables in force. If the tables
// do not set the weight of waiting, a second of waiting weighs 1.
func weightsOf(follower *table.Follower, name lovagestand.RouteName) region.Weights {
	tables, ok := follower.Current()
	if !ok {
		return region.DefaultWeights()
	}
	route, ok := tables.Route(name)
	if !ok || route.Weights == (table.Weights{}) {
		return region.DefaultWeights()
	}
	weights := region.Weights{WaitSecond: route.Weights.Waiting, Megabyte: route.Weights.PaidBytes}
	if weights.WaitSecond == 0 {
		weights.WaitSecond = 1
	}
	return weights
}

// Choose implements [entry.Chooser].
func (c *chooser) Choose(task lovagestand.Task, bodyBytes int, tried []lovagestand.ShardName) (entry.Target, error) {
	all := c.candidates(task.Pool)
	untried := slices.DeleteFunc(slices.Clone(all), func(candidate region.Candidate) bool {
		return slices.Contains(tried, candidate.Shard)
	})
	chosen, reason, err := c.costAware.Choose(task, bodyBytes, untried)
	if err == nil {
		return entry.Target{Shard: chosen.Shard, Reason: reason}, nil
	}
	var infeasible *lovagestand.InfeasibleError
	if errors.As(err, &infeasible) && len(untried) == len(all) {
		return entry.Target{}, err
	}
	return entry.Target{}, &entry.NoTargetError{Pool: task.Pool, Reason: "no shard is left to try", RetryAfter: noTargetRetryAfter}
}

// candidates returns the shards that serve a pool, each with its latest digest.
func (c *chooser) candidates(pool lovagestand.PoolName) []region.Candidate {
	views := c.peers.Digests(pool)
	list := make([]region.Candidate, 0, len(views))
	for _, v := range views {
		owner, _ := c.peers.Owner(v.Digest.Shard)
		list = append(list, region.Candidate{
			Shard:  v.Digest.Shard,
			Region: v.Digest.Shard.Region(),
			Owner:  owner,
			Digest: v.Digest,
			Age:    v.Age,
		})
	}
	return list
}
