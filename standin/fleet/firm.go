package fleet

import (
	"fmt"

	"lovagestand.example/lovagestand"
)

const (
	// workersPerRack and domainsPerRegion shape the firms' regions.
	workersPerRack   = 8
	domainsPerRegion = 2
	// acceleratorInterval and acceleratorsEach say which workers of a firm have
	// accelerators, and how many.
	acceleratorInterval   = 5
	acceleratorsPerWorker = 4
)

// Firm describes the workers of one of the users.
type Firm struct {
	Runner  string
	Regions []lovagestand.RegionName
	// Each is what every worker has; some have accelerators besides.
	Each    lovagestand.Resources
	Workers int
}

// Glazedesk returns the workers of Puthenpurayil Roofing & Glasshouse Works.
func Glazedesk() Firm {
	return Firm{
		Runner:  "glazedesk",
		Regions: []lovagestand.RegionName{"ernakulam", "malabar", "travancore"},
		Each:    lovagestand.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10},
		Workers: 50,
	}
}

// SheetOrders returns the workers of Harrowgate Municipal Supply Works.
func SheetOrders() Firm {
	return Firm{
		Runner:  "sheet-orders",
		Regions: []lovagestand.RegionName{"northbank", "riverside", "southmoor"},
		Each:    lovagestand.Resources{MilliCPU: 16_000, MemoryMiB: 64 << 10},
		Workers: 50,
	}
}

// FirmByRunner returns the firm that runs a service; false if there is none.
func FirmByRunner(runner string) (Firm, bool) {
	for _, f := range []Firm{Glazedesk(), SheetOrders()} {
		if f.Runner == runner {
			return f, true
		}
	}
	return Firm{}, false
}

// WithWorkers returns a copy of f that has n workers.
func (f Firm) WithWorkers(n int) Firm {
	f.Workers = n
	return f
}

// WithRegions returns a copy of f in other regions.
func (f Firm) WithRegions(regions ...lovagestand.RegionName) Firm {
	f.Regions = regions
	return f
}

// FailureDomain returns the n-th failure domain of a region, counted over and over.
func FailureDomain(region lovagestand.RegionName, n int) lovagestand.FailureDomain {
	return lovagestand.FailureDomain(fmt.Sprintf("%s-%c", region, 'a'+n%domainsPerRegion))
}

// Specs returns the firm's workers, dealt out over its regions and there over
// racks; racks alternate between failure domains.
func (f Firm) Specs() []lovagestand.Worker {
	specs := make([]lovagestand.Worker, 0, f.Workers)
	for i := range f.Workers {
		region := f.Regions[i%len(f.Regions)]
		index := i / len(f.Regions)
		rack := index / workersPerRack
		w := lovagestand.Worker{
			Name:          lovagestand.WorkerName(fmt.Sprintf("%s-%02d", region, index+1)),
			Region:        region,
			FailureDomain: FailureDomain(region, rack),
			Rack:          lovagestand.RackName(fmt.Sprintf("rack%d", rack+1)),
			Runner:        f.Runner,
			Capacity:      f.Each,
			Slots:         Slots,
		}
		w.Address = string(w.Name)
		if index%acceleratorInterval == 0 {
			w.Capacity = w.Capacity.WithAccelerators(acceleratorsPerWorker)
		}
		specs = append(specs, w)
	}
	return specs
}
