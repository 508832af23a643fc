package instance

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cell"
	"lovagestand.example/lovagestand/claim"
)

const (
	// fetchTimeout bounds one query to another instance on behalf of an
	// operator.
	fetchTimeout = time.Second
	// maxReplyBytes bounds the size of the reply to such a query.
	maxReplyBytes = 4 << 20
	// maxParallelFetches bounds the number of instances queried in parallel.
	maxParallelFetches = 16
)

// mountOperators adds the pages and documents for operators to a router.
func (i *Instance) mountOperators(r chi.Router) {
	r.Get("/", i.servePage)
	r.Get("/cell", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, i.cell(r.Context())) })
	r.Get("/v1/requests/{key}/explain", i.serveExplain)
	r.Get("/explain", i.serveForecast)
}

func (i *Instance) servePage(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := i.cell(r.Context()).WritePage(w); err != nil {
		i.log.Warn().Err(err).Msg("operators' page could not be written")
	}
}

// cell returns a summary of the cell. It combines the status of the known
// instances with the digests of the shards' owners.
func (i *Instance) cell(ctx context.Context) cell.State {
	members, _ := i.members.Current()
	sources := cell.Sources{
		AskedAt:         i.address,
		At:              time.Now(),
		Reports:         i.fetchStatuses(ctx),
		RevisionReports: make(map[lovagestand.InstanceID]cell.RevisionReport),
		Digests:         i.ownership.Digests(""),
		ClaimPartitions: i.claimPartitionsByOwner(),
		ListedWorkers:   members.Workers,
	}
	for _, r := range i.ownership.TablesRevisions() {
		sources.RevisionReports[r.Instance] = cell.RevisionReport{Revision: r.Revision, Age: r.Age}
	}
	return cell.New(sources)
}

// fetchStatuses returns the status of all known instances, including this one.
func (i *Instance) fetchStatuses(ctx context.Context) []cell.Report {
	instances := i.knownInstances()
	reports := make([]cell.Report, len(instances))
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for n, other := range instances {
		group.Go(func() error {
			reports[n] = cell.Report{Instance: other}
			if other.ID == i.id {
				reports[n].Status = i.Status()
				return nil
			}
			reports[n].Err = i.fetch(ctx, other, "/status", &reports[n].Status)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// knownInstances returns the instances that are on the member list or that have
// been in contact with the peers recently, including this one.
func (i *Instance) knownInstances() []lovagestand.Instance {
	instances := i.ownership.LiveInstances()
	seen := make(map[lovagestand.InstanceID]bool)
	for _, p := range instances {
		seen[p.ID] = true
	}
	for _, m := range append(i.listedInstances(), i.Self()) {
		if !seen[m.ID] {
			seen[m.ID] = true
			instances = append(instances, m)
		}
	}
	return instances
}

// fetch reads a JSON document from another instance into reply.
func (i *Instance) fetch(ctx context.Context, from lovagestand.Instance, path string, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+from.Address+path, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	response, err := i.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("answered %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply), "decode")
}

// claimPartitionsByOwner returns the number of claim partitions of each owner.
// Partitions without a known owner are not counted.
func (i *Instance) claimPartitionsByOwner() map[lovagestand.InstanceID]int {
	counts := make(map[lovagestand.InstanceID]int)
	for _, n := range claim.PartitionNames() {
		if owner, ok := i.ownership.Owner(n); ok {
			counts[owner.ID]++
		}
	}
	return counts
}
