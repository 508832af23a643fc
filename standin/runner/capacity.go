package runner

import (
	"time"

	"lovagestand.example/lovagestand"
)

// capacityAllowance is how long after a change the scheduler may assume the former
// capacity: the time without contact that the users allow, and one heartbeat.
const capacityAllowance = 5500 * time.Millisecond

// formerCapacity is a capacity that the scheduler may assume until a time.
type formerCapacity struct {
	lovagestand.Resources
	until time.Time
}

// SetCapacity changes the capacity of a worker while it runs.
func (f *Fleet) SetCapacity(name lovagestand.WorkerName, capacity lovagestand.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.capacity, time.Now().Add(capacityAllowance)})
	w.capacity = capacity
}

// Used returns what the runs of a worker use; zero if it is not up.
func (f *Fleet) Used(name lovagestand.WorkerName) lovagestand.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	var used lovagestand.Resources
	if w := f.workers[name]; w != nil {
		for _, r := range w.runs {
			used = used.Add(r.needs)
		}
	}
	return used
}

// limit returns the most that the scheduler may give to the worker at now.
func (w *worker) limit(now time.Time) lovagestand.Resources {
	limit := w.capacity
	for _, c := range w.formerCapacities {
		if !now.After(c.until) {
			limit = limit.Max(c.Resources)
		}
	}
	return limit
}
