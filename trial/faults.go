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
	// slowWorkerDelay is how long a slow worker takes for a call.
	slowWorkerDelay = 300 * time.Millisecond
	// slowStoreDelay is how long the store takes for a call once it is up again.
	slowStoreDelay = 400 * time.Millisecond
	// detectionTime is longer than the leases and lags by which a fault is noticed.
	detectionTime = 4 * time.Second
	// lostReplyShare is the share of writes whose reply is lost.
	lostReplyShare = 0.5
)

// Faults returns all faults in the order in which they are put in: those that
// take long to be felt come first.
func Faults() []Fault {
	return []Fault{
		{"kill", detectionTime, killFault},
		{"pause", detectionTime, pauseFault},
		{"region-cut", detectionTime, regionCutFault},
		{"leaving-worker", audit.LeavingGrace + 2*time.Second, leavingWorkerFault},
		{"store-outage", detectionTime, storeOutageFault},
		{"planned-stop", 0, plannedStopFault},
		{"bad-worker", 0, badWorkerFault},
		{"lost-replies", 0, lostRepliesFault},
		{"cancel-wave", 0, cancelWaveFault},
		{"table-race", 0, tableRaceFault},
	}
}

// noTarget is what a fault returns that finds nothing to act on.
func noTarget() (string, func()) {
	return "nothing", func() {}
}

// randomNode draws an instance that is up; nil if there is none.
func (i injection) randomNode() *node {
	nodes := i.trial.nodesIn(nodeUp)
	if len(nodes) == 0 {
		return nil
	}
	return nodes[i.random.IntN(len(nodes))]
}

// randomWorker draws a worker.
func (i injection) randomWorker() *fleet.Worker {
	workers := i.trial.fleet.Workers()
	return workers[i.random.IntN(len(workers))]
}

// killFault kills an instance; another takes its place at the end.
func killFault(run injection) (string, func()) {
	n := run.randomNode()
	if n == nil {
		return noTarget()
	}
	n.kill()
	return n.name, func() { run.trial.replace(n) }
}

// pauseFault holds an instance up and lets it wake as if no time had passed.
func pauseFault(run injection) (string, func()) {
	n := run.randomNode()
	if n == nil || !n.transition(nodePaused, nodeUp) {
		return noTarget()
	}
	n.beginDisruption()
	n.host.Pause()
	return n.name, func() {
		n.host.Resume()
		n.endDisruption()
		n.transition(nodeUp, nodePaused)
	}
}

// plannedStopFault stops an instance as planned and replaces it. It takes one
// that no other fault holds, so that a broken call is the stop's doing.
func plannedStopFault(run injection) (string, func()) {
	n := run.randomUndisruptedNode()
	if n == nil {
		return noTarget()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := n.stop(ctx); err != nil {
			run.trial.addNote(err.Error())
		}
	}()
	return n.name, func() {
		run.trial.replace(n)
		<-stopped
	}
}

// storeOutageFault takes the store down, then lets it be slow for a while.
func storeOutageFault(run injection) (string, func()) {
	run.trial.store.SetFaults(kv.Faults{Down: true})
	go func() {
		if pause.For(run.ctx, run.duration*2/3) {
			run.trial.store.SetFaults(kv.Faults{Delay: slowStoreDelay})
		}
	}()
	return "store", func() { run.trial.store.SetFaults(kv.Faults{Delay: storeDelay}) }
}

// lostRepliesFault lets writes take effect whose replies are lost.
func lostRepliesFault(run injection) (string, func()) {
	run.trial.store.SetFaults(kv.Faults{Delay: storeDelay, LoseReplies: lostReplyShare})
	return "store", func() { run.trial.store.SetFaults(kv.Faults{Delay: storeDelay}) }
}

// leavingWorkerFault lets two workers leave, one of which is then taken off the
// member list; both come back at the end.
func leavingWorkerFault(run injection) (string, func()) {
	first, second := run.randomWorker(), run.randomWorker()
	for _, w := range []*fleet.Worker{first, second} {
		w.SetLeaving(true)
		run.trial.memberList.SetLeaving(w.Spec().Name, true)
	}
	go func() {
		if pause.For(run.ctx, run.duration/2) {
			run.trial.memberList.RemoveWorker(second.Spec().Name)
		}
	}()
	target := fmt.Sprintf("%s, %s", first.Spec().Name, second.Spec().Name)
	return target, func() {
		for _, w := range []*fleet.Worker{first, second} {
			w.SetLeaving(false)
			run.trial.memberList.SetWorker(w.Spec())
		}
	}
}

// badWorkerFault makes workers bad in five ways.
func badWorkerFault(run injection) (string, func()) {
	faults := []fleet.Faults{
		{FailAll: true},
		{Refuse: true},
		{Delay: slowWorkerDelay},
		{Unreachable: true},
		{Outgrow: 3},
	}
	target := ""
	var bad []*fleet.Worker
	for _, f := range faults {
		w := run.randomWorker()
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
func cancelWaveFault(run injection) (string, func()) {
	for _, w := range run.trial.drawWave(run.duration) {
		run.trial.send(w)
	}
	go func() {
		if pause.For(run.ctx, run.duration/2) {
			run.trial.cancelAll(lovagestand.ClassBatch)
		}
	}()
	return "batch work", func() { run.trial.cancelAll(lovagestand.ClassBatch) }
}

// drawWave draws requests of its own, so that those of the load stay the same.
func (t *Trial) drawWave(runFor time.Duration) []caller.Request {
	source := caller.NewSource("wave", caller.RequestKinds(t.config.Tables), t.config.Seed)
	var requests []caller.Request
	for range waveRequests {
		requests = append(requests, source.NextBatch(runFor))
	}
	return requests
}

// tableRaceFault lets several operators edit the tables at the same moments.
func tableRaceFault(run injection) (string, func()) {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for pause.For(run.ctx, raceInterval) {
			run.trial.tables.editConcurrently(run.ctx, len(run.trial.config.Tables.Routes())+1)
		}
	}()
	return "tables", func() { <-finished }
}

// regionCutFault cuts a region off from the others, and from the platform's
// services unless it is the first region.
func regionCutFault(run injection) (string, func()) {
	regions := run.trial.firm.Regions
	region := regions[run.random.IntN(len(regions))]
	var disrupted []*node
	for _, n := range run.trial.nodesIn(nodeUp, nodePaused) {
		if n.region == region {
			n.beginDisruption()
			disrupted = append(disrupted, n)
		}
	}
	run.trial.network.Partition(region)
	return string(region), func() {
		run.trial.network.Partition("")
		for _, n := range disrupted {
			n.endDisruption()
		}
	}
}
