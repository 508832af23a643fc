package baseline

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Decide implements [lovagestand.Decider].
func (d *Decider) Decide(now time.Time, decisions []lovagestand.Decision) []lovagestand.Decision {
	decisions = d.expire(now, decisions)
	if !d.changed {
		return decisions
	}
	d.changed = false
	gangs := d.gangs()
	for _, e := range d.waiting {
		if e.cancelled || e.placedOn != nil {
			continue
		}
		group := []*entry{e}
		if e.task.Gang != "" {
			group = gangs[e.task.Gang]
		}
		if len(group) < e.task.GangSize || !d.place(group) {
			continue
		}
		for _, m := range group {
			decisions = append(decisions, lovagestand.Decision{
				Kind: lovagestand.DecisionStart, Task: m.task, Worker: m.placedOn.worker.Name,
			})
		}
	}
	d.compactWaiting()
	return decisions
}

func (d *Decider) gangs() map[string][]*entry {
	gangs := map[string][]*entry{}
	for _, e := range d.waiting {
		if !e.cancelled && e.task.Gang != "" {
			gangs[e.task.Gang] = append(gangs[e.task.Gang], e)
		}
	}
	return gangs
}

func (d *Decider) expire(now time.Time, decisions []lovagestand.Decision) []lovagestand.Decision {
	for _, e := range d.waiting {
		deadline := e.task.StartBy
		if e.cancelled || deadline.IsZero() || now.Before(deadline) {
			continue
		}
		d.Cancel(e.task.ID)
		decisions = append(decisions, lovagestand.Decision{
			Kind: lovagestand.DecisionExpire, Task: e.task, Reason: "no worker was free before the time limit",
		})
	}
	return decisions
}

// compactWaiting removes the entries that no longer wait.
func (d *Decider) compactWaiting() {
	kept := d.waiting[:0]
	for _, e := range d.waiting {
		if !e.cancelled && e.placedOn == nil {
			kept = append(kept, e)
		}
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

func (d *Decider) place(group []*entry) bool {
	for i, e := range group {
		w := d.chooseWorker(e)
		if w == nil {
			for _, placed := range group[:i] {
				placed.placedOn.remove(placed)
			}
			return false
		}
		w.put(e)
	}
	return true
}

func (d *Decider) chooseWorker(e *entry) *workerState {
	offset := 0
	if d.random != nil && len(d.workers) > 0 {
		offset = d.random.IntN(len(d.workers))
	}
	for i := range d.workers {
		w := d.workers[(i+offset)%len(d.workers)]
		if w.holds(e) {
			return w
		}
	}
	return nil
}

func (w *workerState) holds(e *entry) bool {
	return w.pool == e.task.Pool && !w.worker.Leaving && w.tasks < w.worker.Slots &&
		w.used.Add(e.task.Resources).Fits(w.worker.Capacity)
}

func (w *workerState) put(e *entry) {
	e.placedOn = w
	w.tasks++
	w.used = w.used.Add(e.task.Resources)
}

func (w *workerState) remove(e *entry) {
	e.placedOn = nil
	w.tasks--
	w.used = w.used.Sub(e.task.Resources)
}
