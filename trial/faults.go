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
	// waveRequests is the number of requests that the cancel-wave fault sends.
	waveRequests = 150
	// slowWorkerDelay is the latency of a slow worker.
	slowWorkerDelay = 300 * time.Millisecond
	// slowStoreDelay is the latency of the store right after an outage.
	slowStoreDelay = 400 * time.Millisecond
	// detectionTime is longer than the leases and delays after which the scheduler
	// detects a fault.
	detectionTime = 4 * time.Second
	// lostReplyShare is the share of store writes whose reply is lost.
	lostReplyShare = 0.5
)

// Faults returns all faults in the order in which they are injected: those that
// take long to have an effect come first.
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

// noTarget is the result of a fault that finds no instance to affect.
func noTarget() (string, func()) {
	return "nothing", func() {}
}

// randomNode returns a random instance that is up; nil if there is none.
func (i injection) randomNode() *node {
	nodes := i.trial.nodesIn(nodeUp)
	if len(nodes) == 0 {
		return nil
	}
	return nodes[i.random.IntN(len(nodes))]
}

// randomWorker returns a random worker.
func (i injection) randomWorker() *fleet.Worker {
	workers := i.trial.fleet.Workers()
	return workers[i.random.IntN(len(workers))]
}

// killFault kills an instance and replaces it at the end.
func killFault(run injection) (string, func()) {
	n := run.randomNode()
	if n == nil {
		return noTarget()
	}
	n.kill()
	return n.name, func() { run.trial.replace(n) }
}

// pauseFault pauses the network of an instance and resumes it at the end. Messages
// sent meanwhile then arrive, as if the instance had been suspended.
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

// plannedStopFault performs a planned stop of an instance and replaces it at the
// end. It chooses one that no other fault disrupts, so that each broken call is
// caused by the stop.
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

// storeOutageFault makes the store unavailable for two thirds of the duration and
// slow for the rest.
func storeOutageFault(run injection) (string, func()) {
	run.trial.store.SetFaults(kv.Faults{Down: true})
	go func() {
		if pause.For(run.ctx, run.duration*2/3) {
			run.trial.store.SetFaults(kv.Faults{Delay: slowStoreDelay})
		}
	}()
	return "store", func() { run.trial.store.SetFaults(kv.Faults{Delay: storeDelay}) }
}

// lostRepliesFault drops the replies of half of the store writes, which take effect
// nevertheless.
func lostRepliesFault(run injection) (string, func()) {
	run.trial.store.SetFaults(kv.Faults{Delay: storeDelay, LoseReplies: lostReplyShare})
	return "store", func() { run.trial.store.SetFaults(kv.Faults{Delay: storeDelay}) }
}

// leavingWorkerFault marks two workers as leaving and removes one of them from the
// member list halfway; both return at the end.
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

// badWorkerFault injects five different faults into random workers: all tasks
// fail, starts are refused, calls are slow, the worker is unreachable, and tasks
// use more than they declare.
func badWorkerFault(run injection) (string, func()) {
	faults := []fleet.Faults{
		{FailAll: true},
		{Refuse: true},
		{Delay: slowWorkerDelay},
		{Unreachable: true},
		{UsageRatio: 3},
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

// cancelWaveFault sends many long requests at once, and cancels all batch requests
// halfway and again at the end.
func cancelWaveFault(run injection) (string, func()) {
	for _, request := range run.trial.drawWave(run.duration) {
		run.trial.send(request)
	}
	go func() {
		if pause.For(run.ctx, run.duration/2) {
			run.trial.cancelAll(lovagestand.ClassBatch)
		}
	}()
	return "batch work", func() { run.trial.cancelAll(lovagestand.ClassBatch) }
}

// drawWave draws the requests of a cancellation wave. It has a source of its own,
// so that the fault does not change the requests of the load.
func (t *Trial) drawWave(runFor time.Duration) []caller.Request {
	source := caller.NewSource("wave", caller.RequestKinds(t.config.Tables), t.config.Seed)
	var requests []caller.Request
	for range waveRequests {
		requests = append(requests, source.NextBatch(runFor))
	}
	return requests
}

// tableRaceFault repeatedly makes several operators edit the tables concurrently.
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

// regionCutFault partitions a region from the others. Since the platform's
// services are in the first region, any other region also loses them.
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
