package cell

import (
	"fmt"
	"io"

	"lovagestand.example/lovagestand"
)

// Explanation describes where a request is and why.
type Explanation struct {
	Key lovagestand.RequestKey `json:"key"`
	// Found is set if some instance holds the request or its answer.
	Found bool   `json:"found"`
	Notes []Note `json:"notes"`
	// Unresponsive contains the addresses of the instances that did not answer.
	Unresponsive []string `json:"silent,omitempty"`
}

// Note describes the state of a request in one component of an instance.
type Note struct {
	// Instance is the address of the instance.
	Instance string                `json:"instance"`
	Shard    lovagestand.ShardName `json:"shard,omitempty"`
	Text     string                `json:"text"`
}

// Write writes the explanation as text for a terminal.
func (e Explanation) Write(w io.Writer) error {
	if !e.Found {
		fmt.Fprintf(w, "no instance that answers holds a request with key %q: it was never sent, or its answer is no longer kept\n", e.Key)
	}
	for _, n := range e.Notes {
		where := n.Instance
		if n.Shard != "" {
			where += ", shard " + string(n.Shard)
		}
		fmt.Fprintf(w, "%s: %s\n", where, n.Text)
	}
	for _, address := range e.Unresponsive {
		fmt.Fprintf(w, "%s: does not answer\n", address)
	}
	return nil
}

// Forecast describes where a request of a route would be placed, and why not
// elsewhere.
type Forecast struct {
	Route     lovagestand.RouteName `json:"route"`
	Pool      lovagestand.PoolName  `json:"pool"`
	Class     lovagestand.Class     `json:"class"`
	Resources lovagestand.Resources `json:"resources"`
	// Shard is the shard that the request would be sent to; empty if there is
	// none.
	Shard  lovagestand.ShardName `json:"shard,omitempty"`
	Reason string                `json:"reason"`
	Shards []ShardAssessment     `json:"shards"`
}

// ShardAssessment describes what favors and what rules out one shard as the target
// of a request.
type ShardAssessment struct {
	Shard lovagestand.ShardName `json:"shard"`
	Owner string                `json:"owner"`
	Text  string                `json:"text"`
}

// Write writes the forecast as text for a terminal.
func (f Forecast) Write(w io.Writer) error {
	fmt.Fprintf(w, "route %s: pool %s, class %s, takes %s\n", f.Route, f.Pool, f.Class, FormatResources(f.Resources))
	if f.Shard == "" {
		fmt.Fprintf(w, "would go nowhere: %s\n", f.Reason)
	} else {
		fmt.Fprintf(w, "would go to shard %s: %s\n", f.Shard, f.Reason)
	}
	for _, p := range f.Shards {
		fmt.Fprintf(w, "  %s (owner %s): %s\n", p.Shard, p.Owner, p.Text)
	}
	return nil
}

// Assess returns a text on how suitable a shard is for a task, given the digest of
// the task's pool in that shard. The parameter sameRegion is set if the shard is in
// the region of this instance.
func Assess(task lovagestand.Task, digest lovagestand.PoolDigest, sameRegion bool) string {
	switch {
	case digest.Workers == 0:
		return "no worker of the pool is fit"
	case !task.Resources.Fits(digest.LargestCapacity):
		return "never: its largest worker has " + FormatResources(digest.LargestCapacity)
	}
	text := fmt.Sprintf("expected wait %v, %d waiting in its class", digest.Wait[task.Class], digest.Waiting[task.Class])
	if task.Resources.Fits(digest.Largest) {
		text += ", some worker may have room now"
	} else {
		text += ", no worker has room now"
	}
	if !sameRegion {
		text += ", in another region"
	}
	return text
}
