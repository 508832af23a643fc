package region

import (
	"cmp"
	"slices"
	"sync"

	lovagestand "lovagestand.example/lovagestand"
)

// LinkTraffic is the number of bytes sent over one link for one route.
type LinkTraffic struct {
	From  lovagestand.RegionName `json:"from"`
	To    lovagestand.RegionName `json:"to"`
	Route lovagestand.RouteName  `json:"route"`
	Bytes uint64                 `json:"bytes"`
}

// Meter counts the bytes sent between regions, which are billed, by link and
// route. It is safe for concurrent use.
type Meter struct {
	mu          sync.Mutex
	bytesByLink map[LinkTraffic]uint64
}

// NewMeter returns a meter with no bytes counted.
func NewMeter() *Meter {
	return &Meter{bytesByLink: make(map[LinkTraffic]uint64)}
}

// Count adds bytes sent from one region to another. Bytes within a region are
// not billed and not counted.
func (m *Meter) Count(from, to lovagestand.RegionName, route lovagestand.RouteName, bytes int) {
	if from == to || bytes <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytesByLink[LinkTraffic{From: from, To: to, Route: route}] += uint64(bytes)
}

// Rows returns the bytes of each link and route, sorted by link and route.
func (m *Meter) Rows() []LinkTraffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]LinkTraffic, 0, len(m.bytesByLink))
	for row, bytes := range m.bytesByLink {
		row.Bytes = bytes
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b LinkTraffic) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.Route, b.Route))
	})
	return rows
}

// Total returns the sum of all bytes counted.
func (m *Meter) Total() (bytes uint64) {
	for _, row := range m.Rows() {
		bytes += row.Bytes
	}
	return bytes
}
