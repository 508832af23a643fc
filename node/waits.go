package node

import "expvar"

// publishWaits adds the longest waits of the owned shards to the metrics, in milliseconds: by
// shard, and for steps that have room by shard and reason.
func (n *Node) publishWaits() {
	n.deps.Metrics.Set("longestWaits", expvar.Func(func() any {
		ages := map[string]int64{}
		for name, status := range n.cell.shardStatuses() {
			ages[name] = status.LongestWait.Age
		}
		return ages
	}))
	n.deps.Metrics.Set("longestWaitsWithRoom", expvar.Func(func() any {
		ages := map[string]int64{}
		for name, status := range n.cell.shardStatuses() {
			if w := status.LongestWaitWithRoom; w.Step != "" {
				ages[name+"."+string(w.Reason)] = w.Age
			}
		}
		return ages
	}))
}
