package report

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
)

// Report is what a trial measured. Times are in milliseconds from its start.
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
	// Notes are observations in words that break no promise.
	Notes []string `json:"notes,omitempty"`
}

// InstanceStart is how one instance started.
type InstanceStart struct {
	Instance string `json:"instance"`
	// AtMillis is below 0 for those that started before the load.
	AtMillis float64 `json:"atMillis"`
	// ReadyMillis is how long the instance took to serve; 0 if it never did.
	ReadyMillis float64 `json:"readyMillis"`
}

// Fault is one fault as it was put in.
type Fault struct {
	Name        string  `json:"name"`
	FromMillis  float64 `json:"fromMillis"`
	UntilMillis float64 `json:"untilMillis"`
	// Target names what was hit.
	Target string `json:"target,omitempty"`
}

// LatencySummary sums up a distribution in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// RouteOutcomes is what became of the requests of one route.
type RouteOutcomes struct {
	Route lovagestand.RouteName `json:"route"`
	Class lovagestand.Class     `json:"class"`
	// Asked counts the requests, the next fields how they ended.
	Asked     int `json:"asked"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	NotRun    int `json:"notRun"`
	Cancelled int `json:"cancelled"`
	Unknown   int `json:"unknown"`
	// Repeated counts how often a key was sent again after a broken call.
	Repeated int `json:"repeated"`
	// Waiting is from the caller's first call to the start on a worker, as the
	// worker tells.
	Waiting LatencySummary `json:"waiting"`
	// Answering is from the caller's first call to its final answer.
	Answering LatencySummary `json:"answering"`
}

// Totals are sums over the whole trial.
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
	// TablesAccepted counts accepted changes; TablesSlowestMillis is the
	// longest until one was in force everywhere.
	TablesAccepted      int     `json:"tablesAccepted"`
	TablesRefused       int     `json:"tablesRefused"`
	TablesSlowestMillis float64 `json:"tablesSlowestMillis"`
}

// StoreCallRate is the rate of one kind of call to the store.
type StoreCallRate struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"perSecond"`
}

// LinkBytes is what went between instances and one kind of place.
type LinkBytes struct {
	Link  string `json:"link"`
	Bytes uint64 `json:"bytes"`
}

// Sample is what was seen in one span of time that ends at AtMillis.
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

// RouteLatency is the waiting time of one route within a sample.
type RouteLatency struct {
	Route   lovagestand.RouteName `json:"route"`
	Summary LatencySummary        `json:"spread"`
}
