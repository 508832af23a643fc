package fleet

import (
	"fmt"

	"lovagestand.example/lovagestand"
)

const (
	// workersPerRack and domainsPerRegion are the numbers of workers in a rack
	// and of failure domains in a region.
	workersPerRack   = 8
	domainsPerRegion = 2
	// acceleratorInterval is the distance between workers with accelerators
	// within a region, acceleratorsPerWorker the number that each of them has.
	acceleratorInterval   = 5
	acceleratorsPerWorker = 4
)

// Firm describes the workers of one of the firms that use the scheduler.
type Firm struct {
	// Runner is the name of the backend service that the workers run.
	Runner  string
	Regions []lovagestand.RegionName
	// WorkerCapacity is the capacity of every worker. Some have accelerators in
	// addition.
	WorkerCapacity lovagestand.Resources
	Workers        int
}

// Glazedesk returns the firm Puthenpurayil Roofing & Glasshouse Works.
func Glazedesk() Firm {
	return Firm{
		Runner:         "glazedesk",
		Regions:        []lovagestand.RegionName{"ernakulam", "malabar", "travancore"},
		WorkerCapacity: lovagestand.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10},
		Workers:        50,
	}
}

// SheetOrders returns the firm Harrowgate Municipal Supply Works.
func SheetOrders() Firm {
	return Firm{
		Runner:         "sheet-orders",
		Regions:        []lovagestand.RegionName{"northbank", "riverside", "southmoor"},
		WorkerCapacity: lovagestand.Resources{MilliCPU: 16_000, MemoryMiB: 64 << 10},
		Workers:        50,
	}
}

// FirmByRunner returns the firm whose workers run a backend service, and false
// if there is none.
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

// WithRegions returns a copy of f whose workers are in the given regions.
func (f Firm) WithRegions(regions ...lovagestand.RegionName) Firm {
	f.Regions = regions
	return f
}

// FailureDomain returns the n-th failure domain of a region, counted cyclically.
func FailureDomain(region lovagestand.RegionName, n int) lovagestand.FailureDomain {
	return lovagestand.FailureDomain(fmt.Sprintf("%s-%c", region, 'a'+n%domainsPerRegion))
}

// Specs returns the descriptions of the firm's workers. The workers are assigned
// to the regions in turn, and fill one rack after another within each region. The
// racks alternate between the failure domains.
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
			Capacity:      f.WorkerCapacity,
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
