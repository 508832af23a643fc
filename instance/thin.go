package instance

import (
	"context"
	"sort"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/member"
)

// unlimited admits everything.
type unlimited struct{}

// Admit implements [entry.Limiter].
func (unlimited) Admit(entry.Route, lovagestand.TeamName) (func(), error) {
	return func() {}, nil
}

// unclaimed grants every claim without keeping it.
type unclaimed struct{}

// Claim implements [entry.Claims].
func (unclaimed) Claim(_ context.Context, r lovagestand.Request, _ uint64, target lovagestand.ShardName) (entry.Claim, error) {
	return entry.Claim{Task: lovagestand.TaskID(r.Key), Shard: target, StartBy: r.StartBy, Fresh: true}, nil
}

// Settle implements [entry.Claims].
func (unclaimed) Settle(context.Context, lovagestand.RequestKey, lovagestand.Answer) {}

// nearest chooses shards of the own region first, in the order of their names.
type nearest struct {
	self    func() lovagestand.Instance
	members *member.Watcher
	tables  catalog
}

// Choose implements [entry.Chooser].
func (n *nearest) Choose(task lovagestand.Task, _ int, tried []lovagestand.ShardName) (entry.Target, error) {
	left := make(map[lovagestand.ShardName]bool)
	for _, s := range tried {
		left[s] = true
	}
	members, _ := n.members.Current()
	own := n.self().Region
	var near, far []lovagestand.ShardName
	for _, w := range members.Workers {
		pool, ok := n.tables.PoolOf(w)
		if !ok || pool != task.Pool || left[w.Shard()] {
			continue
		}
		left[w.Shard()] = true
		if w.Region == own {
			near = append(near, w.Shard())
		} else {
			far = append(far, w.Shard())
		}
	}
	sort.Slice(near, func(i, j int) bool { return near[i] < near[j] })
	all := append(near, far...)
	if len(all) == 0 {
		return entry.Target{}, &entry.NoTargetError{Pool: task.Pool, Reason: "no shard is left to try"}
	}
	return entry.Target{Shard: all[0], Reason: "nearest"}, nil
}
