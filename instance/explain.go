package instance

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cell"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/region"
)

// serveExplain serves an explanation of where a request is and why. With the query
// parameter "here", the explanation covers only this instance. The instances use
// that form to query each other.
func (i *Instance) serveExplain(w http.ResponseWriter, r *http.Request) {
	key := lovagestand.RequestKey(chi.URLParam(r, "key"))
	if r.URL.Query().Has("here") {
		writeJSON(w, i.explainLocally(key))
		return
	}
	writeJSON(w, i.explain(r.Context(), key))
}

// explainLocally returns the explanations of this instance's entry and placer.
func (i *Instance) explainLocally(key lovagestand.RequestKey) cell.Explanation {
	e := cell.Explanation{Key: key, Notes: []cell.Note{}}
	if text, ok := i.entry.Explain(key); ok {
		e.Notes = append(e.Notes, cell.Note{Instance: i.address, Text: text})
	}
	if shard, text, ok := i.placer.Explain(key); ok {
		e.Notes = append(e.Notes, cell.Note{Instance: i.address, Shard: shard, Text: text})
	}
	e.Found = len(e.Notes) > 0
	return e
}

// explain merges the explanations of all known instances.
func (i *Instance) explain(ctx context.Context, key lovagestand.RequestKey) cell.Explanation {
	merged := i.explainLocally(key)
	path := "/v1/requests/" + url.PathEscape(string(key)) + "/explain?here"
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for _, other := range i.knownInstances() {
		if other.ID == i.id {
			continue
		}
		group.Go(func() error {
			var part cell.Explanation
			err := i.fetch(ctx, other, path, &part)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merged.Unresponsive = append(merged.Unresponsive, other.Address)
				return nil
			}
			merged.Notes = append(merged.Notes, part.Notes...)
			merged.Found = merged.Found || part.Found
			return nil
		})
	}
	_ = group.Wait()
	return merged
}

// serveForecast serves a forecast of the shard that a request of a route would be
// sent to.
func (i *Instance) serveForecast(w http.ResponseWriter, r *http.Request) {
	request, err := plannedRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	task, err := i.entry.TaskFor(request)
	if err != nil {
		http.Error(w, err.Error(), planErrorStatus(err))
		return
	}
	writeJSON(w, i.forecast(task))
}

// plannedKey is the key of a hypothetical request.
const plannedKey = "planned"

// plannedRequest returns the hypothetical request that the query describes.
func plannedRequest(query url.Values) (lovagestand.Request, error) {
	r := lovagestand.Request{
		Key:   plannedKey,
		Route: lovagestand.RouteName(query.Get("route")),
		Team:  lovagestand.TeamName(query.Get("team")),
	}
	for name, field := range map[string]*int64{
		"milliCPU":     &r.Resources.MilliCPU,
		"memoryMiB":    &r.Resources.MemoryMiB,
		"accelerators": &r.Resources.Accelerators,
	} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return r, errors.Errorf("%s: %q is not a whole number", name, text)
		}
		*field = n
	}
	return r, nil
}

// planErrorStatus returns the HTTP status for an error of [entry.Entry.TaskFor].
func planErrorStatus(err error) int {
	var notReady *entry.NotReadyError
	var unknown *entry.UnknownRouteError
	switch {
	case errors.As(err, &notReady):
		return http.StatusServiceUnavailable
	case errors.As(err, &unknown):
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// forecast returns the shard that the chooser would choose for a task, and an
// assessment of every shard that serves the task's pool.
func (i *Instance) forecast(task lovagestand.Task) cell.Forecast {
	f := cell.Forecast{Route: task.Route, Pool: task.Pool, Class: task.Class, Resources: task.Resources, Shards: []cell.ShardAssessment{}}
	candidates := i.chooser.candidates(task.Pool)
	target, reason, err := i.chooser.costAware.Preview(task, 0, candidates)
	f.Shard, f.Reason = target.Shard, reason
	if err != nil {
		f.Reason = err.Error()
	}
	costs := i.chooser.describeCosts(task, candidates)
	for _, candidate := range candidates {
		digest, _ := candidate.Pool(task.Pool)
		text := cell.Assess(task, digest, candidate.Region == i.settings.Region)
		if cost, ok := costs[candidate.Shard]; ok {
			text += "; " + cost
		}
		f.Shards = append(f.Shards, cell.ShardAssessment{Shard: candidate.Shard, Owner: candidate.Owner.Address, Text: text})
	}
	return f
}

// describeCosts describes, for a person, the cost of running a task on each shard
// that can hold it.
func (c *chooser) describeCosts(task lovagestand.Task, candidates []region.Candidate) map[lovagestand.ShardName]string {
	costs := make(map[lovagestand.ShardName]string)
	appraisals, err := c.costAware.Explain(task, 0, candidates)
	if err != nil {
		return costs
	}
	for _, a := range appraisals {
		costs[a.Candidate.Shard] = fmt.Sprintf("link %v, %d paid bytes, cost %.4g", a.Link, a.PaidBytes, a.Cost)
	}
	return costs
}
