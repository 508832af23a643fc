package trial

import (
	"context"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/trial/caller"
)

const (
	// waveRequests is how many requests a wave of cancellations has at least.
	waveRequests = 150
	// slowWorker is how long a slow worker takes for a call.
	slowWorker = 300 * time.Millisecond
	// slowStore is how long the store takes for a call once it is up again.
	slowStore = 400 * time.Millisecond
	// feltLate is longer than the leases and lags by which a fault is noticed.
	feltLate = 4 * time.Second
	// lostShare is the share of writes whose reply is lost.
	lostShare = 0.5
)

// Faults returns all faults in the order in which they are put in: those that
// take long to be felt come first.
func Faults() []Fault {
	return []Fault{
		{"kill", feltLate, killFault},
		{"pause", feltLate, pauseFault},
		{"region-cut", feltLate, regionCutFault},
		{"leaving-worker", audit.LeavingGrace + 2*time.Second, leavingWorkerFault},
		{"store-outage", feltLate, storeOutageFault},
		{"planned-stop", 0, plannedStopFault},
		{"bad-worker", 0, badWorkerFault},
		{"lost-replies", 0, lostRepliesFault},
		{"cancel-wave", 0, cancelWaveFault},
		{"table-race", 0, tableRaceFault},
	}
}

// none is what a fault returns that finds nothing to act on.
func none() (string, func()) {
	return "nothing", func() {}
}

// node draws an instance that is up; nil if there is none.
func (s stage) node() *node {
	nodes := s.trial.present(nodeUp)
	if len(nodes) == 0 {
		return nil
	}
	return nodes[s.random.IntN(len(nodes))]
}

// worker draws a worker.
func (s stage) worker() *fleet.Worker {
	workers := s.trial.fleet.Workers()
	return workers[s.random.IntN(len(workers))]
}

// killFault kills an instance; another takes its place at the end.
func killFault(s stage) (string, func()) {
	n := s.node()
	if n == nil {
		return none()
	}
	n.kill()
	return n.name, func() { s.trial.replace(n) }
}

// pauseFault holds an instance up and lets it wake as if no time had passed.
func pauseFault(s stage) (string, func()) {
	n := s.node()
	if n == nil || !n.become(nodePaused, nodeUp) {
		return none()
	}
	n.hold()
	n.host.Pause()
	return n.name, func() {
		n.host.Resume()
		n.release()
		n.become(nodeUp, nodePaused)
	}
}

// plannedStopFault stops an instance as planned and replaces it. It takes one
// that no other fault holds, so that a broken call is the stop's doing.
func plannedStopFault(s stage) (string, func()) {
	n := s.steady()
	if n == nil {
		return none()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
		defer cancel()
		if err := n.stop(ctx); err != nil {
			s.trial.note(err.Error())
		}
	}()
	return n.name, func() {
		s.trial.replace(n)
		<-stopped
	}
}

// storeOutageFault takes the store down, then lets it be slow for a while.
func storeOutageFault(s stage) (string, func()) {
	s.trial.store.SetFaults(kv.Faults{Down: true})
	go func() {
		if pause.For(s.ctx, s.length*2/3) {
			s.trial.store.SetFaults(kv.Faults{Delay: slowStore})
		}
	}()
	return "store", func() { s.trial.store.SetFaults(kv.Faults{Delay: storeDelay}) }
}

// lostRepliesFault lets writes take effect whose replies are lost.
func lostRepliesFault(s stage) (string, func()) {
	s.trial.store.SetFaults(kv.Faults{Delay: storeDelay, LoseReplies: lostShare})
	return "store", func() { s.trial.store.SetFaults(kv.Faults{Delay: storeDelay}) }
}

// leavingWorkerFault lets two workers leave, one of which is then taken off the
// member list; both come back at the end.
func leavingWorkerFault(s stage) (string, func()) {
	first, second := s.worker(), s.worker()
	for _, w := range []*fleet.Worker{first, second} {
		w.SetLeaving(true)
		s.trial.list.SetLeaving(w.Spec().Name, true)
	}
	go func() {
		if pause.For(s.ctx, s.length/2) {
			s.trial.list.RemoveWorker(second.Spec().Name)
		}
	}()
	target := fmt.Sprintf("%s, %s", first.Spec().Name, second.Spec().Name)
	return target, func() {
		for _, w := range []*fleet.Worker{first, second} {
			w.SetLeaving(false)
			s.trial.list.SetWorker(w.Spec())
		}
	}
}

// badWorkerFault makes workers bad in five ways.
func badWorkerFault(s stage) (string, func()) {
	ways := []fleet.Faults{
		{FailAll: true},
		{Refuse: true},
		{Delay: slowWorker},
		{Unreachable: true},
		{Outgrow: 3},
	}
	target := ""
	var bad []*fleet.Worker
	for _, f := range ways {
		w := s.worker()
		w.SetFaults(f)
		bad = append(bad, w)
		target += string(w.Spec().Name) + " "
	}
	return target, func() {
		for _, w := range bad {
			w.SetFaults(fleet.Faults{})
		}
	}
}

// cancelWaveFault sends many requests that take long and cancels all batch work
// at once.
func cancelWaveFault(s stage) (string, func()) {
	for _, w := range s.trial.wave(s.length) {
		s.trial.send(w)
	}
	go func() {
		if pause.For(s.ctx, s.length/2) {
			s.trial.cancelAll(lovagestand.ClassBatch)
		}
	}()
	return "batch work", func() { s.trial.cancelAll(lovagestand.ClassBatch) }
}

// wave draws requests of its own, so that those of the load stay the same.
func (t *Trial) wave(runFor time.Duration) []caller.Request {
	source := caller.NewSource("wave", caller.RequestKinds(t.config.Tables), t.config.Seed)
	var works []caller.Request
	for range waveRequests {
		works = append(works, source.NextBatch(runFor))
	}
	return works
}

// tableRaceFault lets several operators edit the tables at the same moments.
func tableRaceFault(s stage) (string, func()) {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for pause.For(s.ctx, raceEvery) {
			s.trial.tables.race(s.ctx, len(s.trial.config.Tables.Routes())+1)
		}
	}()
	return "tables", func() { <-finished }
}

// regionCutFault cuts a region off from the others, and from the platform's
// services unless it is the first region.
func regionCutFault(s stage) (string, func()) {
	regions := s.trial.firm.Regions
	r := regions[s.random.IntN(len(regions))]
	var cut []*node
	for _, n := range s.trial.present(nodeUp, nodePaused) {
		if n.region == r {
			n.hold()
			cut = append(cut, n)
		}
	}
	s.trial.network.Partition(r)
	return string(r), func() {
		s.trial.network.Partition("")
		for _, n := range cut {
			n.release()
		}
	}
}
