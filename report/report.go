package report

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
)

// Report holds the measurements of a trial. Times in milliseconds count from its
// start.
type Report struct {
	Started   time.Time       `json:"started"`
	Seed      uint64          `json:"seed"`
	Seconds   float64         `json:"seconds"`
	Instances int             `json:"instances"`
	Workers   int             `json:"workers"`
	Starts    []InstanceStart `json:"starts"`
	Faults    []Fault         `json:"faults"`
	Kinds     []RouteOutcomes `json:"kinds"`
	Totals    Totals          `json:"totals"`
	Samples   []Sample        `json:"samples"`
	Audit     audit.Result    `json:"audit"`
	// Notes describe observations that are not violations.
	Notes []string `json:"notes,omitempty"`
}

// InstanceStart is the start of one instance.
type InstanceStart struct {
	Instance string `json:"instance"`
	// AtMillis is negative for instances that started before the load.
	AtMillis float64 `json:"atMillis"`
	// ReadyMillis is how long the instance took to become ready; 0 if it never
	// did.
	ReadyMillis float64 `json:"readyMillis"`
}

// Fault is one injected fault.
type Fault struct {
	Name        string  `json:"name"`
	FromMillis  float64 `json:"fromMillis"`
	UntilMillis float64 `json:"untilMillis"`
	// Target names what the fault affected, such as an instance, a region or
	// workers.
	Target string `json:"target,omitempty"`
}

// LatencySummary summarizes a distribution of latencies in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// RouteOutcomes holds the outcomes and latencies of the requests of one route.
type RouteOutcomes struct {
	Route lovagestand.RouteName `json:"route"`
	Class lovagestand.Class     `json:"class"`
	// Asked counts the requests, the next fields their outcomes.
	Asked     int `json:"asked"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	NotRun    int `json:"notRun"`
	Cancelled int `json:"cancelled"`
	Unknown   int `json:"unknown"`
	// Repeated counts how often a key was submitted again, for instance after a
	// broken call.
	Repeated int `json:"repeated"`
	// Waiting is from the caller's first call to the first start on a worker, as
	// reported by the worker.
	Waiting LatencySummary `json:"waiting"`
	// Answering is from the caller's first call to its final answer.
	Answering LatencySummary `json:"answering"`
}

// Totals are sums and means over the whole trial.
type Totals struct {
	Placements          int     `json:"placements"`
	PlacementsPerSecond float64 `json:"placementsPerSecond"`
	// Packing and Share are means over time, see [audit.Usage].
	Packing             float64         `json:"packing"`
	Share               float64         `json:"share"`
	StoreCallsPerSecond []StoreCallRate `json:"storeCallsPerSecond"`
	StoreLimited        uint64          `json:"storeLimited"`
	StoreMostWaiting    int             `json:"storeMostWaiting"`
	ControlBytes        uint64          `json:"controlBytes"`
	ControlBytesPerNode float64         `json:"controlBytesPerNodePerSecond"`
	PaidBytes           uint64          `json:"paidBytes"`
	CallerBytes         uint64          `json:"callerBytes"`
	LinkBytes           []LinkBytes     `json:"linkBytes"`
	// TablesAccepted and TablesRefused count changes of the tables;
	// TablesSlowestMillis is the longest time until an accepted one was in force
	// in all instances.
	TablesAccepted      int     `json:"tablesAccepted"`
	TablesRefused       int     `json:"tablesRefused"`
	TablesSlowestMillis float64 `json:"tablesSlowestMillis"`
}

// StoreCallRate is the rate of one kind of store call.
type StoreCallRate struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"perSecond"`
}

// LinkBytes counts the bytes between instances and one kind of place.
type LinkBytes struct {
	Link  string `json:"link"`
	Bytes uint64 `json:"bytes"`
}

// Sample holds the measurements of one interval that ends at AtMillis. Running,
// Packing and Share are those at its end, Violations counts from the start.
type Sample struct {
	AtMillis            float64        `json:"atMillis"`
	PlacementsPerSecond float64        `json:"placementsPerSecond"`
	StoreCallsPerSecond float64        `json:"storeCallsPerSecond"`
	Running             int            `json:"running"`
	Packing             float64        `json:"packing"`
	Share               float64        `json:"share"`
	Violations          int            `json:"violations"`
	Waiting             []RouteLatency `json:"waiting"`
}

// RouteLatency summarizes the waiting times of one route within a sample.
type RouteLatency struct {
	Route   lovagestand.RouteName `json:"route"`
	Summary LatencySummary        `json:"spread"`
}
