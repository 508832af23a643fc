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
	// askTimeout bounds one operator's question passed on to another instance.
	askTimeout = time.Second
	// maxReplyBytes bounds the answer to it.
	maxReplyBytes = 4 << 20
	// maxAsked bounds how many instances are asked side by side.
	maxAsked = 16
)

// mountOperators adds what operators read to a router.
func (i *Instance) mountOperators(r chi.Router) {
	r.Get("/", i.servePage)
	r.Get("/cell", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, i.cell(r.Context())) })
	r.Get("/v1/requests/{key}/explain", i.serveExplain)
	r.Get("/explain", i.serveOutlook)
}

func (i *Instance) servePage(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := i.cell(r.Context()).WritePage(w); err != nil {
		i.log.Warn().Err(err).Msg("page")
	}
}

// cell sums up the cell from what the live instances say and from what the
// owners' digests tell.
func (i *Instance) cell(ctx context.Context) cell.State {
	members, _ := i.members.Current()
	from := cell.Sources{
		AskedAt: i.address,
		At:      time.Now(),
		Reports: i.askAll(ctx),
		Heard:   make(map[lovagestand.InstanceID]cell.Heard),
		Digests: i.ownership.Digests(""),
		Homes:   i.homesByOwner(),
		Listed:  members.Workers,
	}
	for _, r := range i.ownership.TablesRevisions() {
		from.Heard[r.Instance] = cell.Heard{Revision: r.Revision, Age: r.Age}
	}
	return cell.New(from)
}

// askAll asks all known instances, this one included, for their status.
func (i *Instance) askAll(ctx context.Context) []cell.Report {
	instances := i.known()
	reports := make([]cell.Report, len(instances))
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for n, other := range instances {
		group.Go(func() error {
			reports[n] = cell.Report{Instance: other}
			if other.ID == i.id {
				reports[n].Own = i.Status()
				return nil
			}
			reports[n].Err = i.fetch(ctx, other, "/status", &reports[n].Own)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// known returns the instances that are listed or were heard of lately.
func (i *Instance) known() []lovagestand.Instance {
	instances := i.ownership.LiveInstances()
	seen := make(map[lovagestand.InstanceID]bool)
	for _, p := range instances {
		seen[p.ID] = true
	}
	for _, m := range append(i.allInstances(), i.Self()) {
		if !seen[m.ID] {
			seen[m.ID] = true
			instances = append(instances, m)
		}
	}
	return instances
}

// fetch reads a JSON document from another instance into reply.
func (i *Instance) fetch(ctx context.Context, from lovagestand.Instance, path string, reply any) error {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+from.Address+path, nil)
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

// homesByOwner counts the homes of claims by owner, as far as they are known.
func (i *Instance) homesByOwner() map[lovagestand.InstanceID]int {
	homes := make(map[lovagestand.InstanceID]int)
	for _, n := range claim.HomeNames() {
		if owner, ok := i.ownership.Owner(n); ok {
			homes[owner.ID]++
		}
	}
	return homes
}
