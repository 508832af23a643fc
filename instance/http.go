package instance

import (
	"encoding/json"
	"net/http"
	"runtime"
	"time"

	"github.com/go-chi/chi/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cell"
	"lovagestand.example/lovagestand/claim"
	"lovagestand.example/lovagestand/claim/claimpb"
	"lovagestand.example/lovagestand/owner"
	"lovagestand.example/lovagestand/peer"
	"lovagestand.example/lovagestand/table/tablepeer"
)

// Status is the state of an instance that it reports to operators.
type Status = cell.InstanceStatus

// dump is the complete state of an instance, which is served at /dump.
type dump struct {
	Status
	Members    lovagestand.Members `json:"members"`
	Owners     []owner.Entry       `json:"owners"`
	Goroutines int                 `json:"goroutines"`
	HeapBytes  uint64              `json:"heapBytes"`
}

// Status returns the state of the instance.
func (i *Instance) Status() Status {
	s := Status{
		Instance: i.Self(),
		Status:   i.follower.Status(),
		Uptime:   time.Since(i.started).Round(time.Second).String(),
		InFlight: i.entry.InFlight(),
		Shards:   i.placer.Status(),

		Refusals:   i.limiter.Refusals(),
		QuotaCalls: i.quotas.Counts(),
	}
	if err := i.Ready(); err != nil {
		s.NotReady = err.Error()
	}
	return s
}

func (i *Instance) router() http.Handler {
	mux := chi.NewRouter()
	i.entry.Mount(mux)
	mux.Mount(i.placer.Handler())
	mux.Mount(tablepeer.Handler(i.follower))
	mux.Mount(peer.PeersPathPrefix, i.ownership.Handler())
	claimServer := claimpb.NewClaimsServer(claim.NewService(i.claimPartitions))
	mux.Mount(claimServer.PathPrefix(), claimServer)
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", i.serveReady)
	mux.Get("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Status()) })
	i.mountOperators(mux)
	mux.Get("/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.dump()) })
	mux.Handle("/debug/vars", i.metrics)
	return mux
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := i.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (i *Instance) dump() dump {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	members, _ := i.members.Current()
	return dump{
		Status:     i.Status(),
		Members:    members,
		Owners:     i.ownership.Entries(),
		Goroutines: runtime.NumGoroutine(),
		HeapBytes:  m.HeapAlloc,
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
