package placer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/placer/placerpb"
	"lovagestand.example/lovagestand/pool/naive"
	"lovagestand.example/lovagestand/standin/fleet"
)

const shardName = lovagestand.ShardName("malabar/rack1")

// ownership is a [lovagestand.Ownership] of one shard whose lease is granted
// and ended by the test.
type ownership struct {
	mu      sync.Mutex
	lease   lovagestand.OwnershipLease
	changed chan struct{}
	// leaseHook is called at the start of every call of Lease; it may be nil.
	leaseHook func()
}

func newOwnership(epoch lovagestand.Epoch, d time.Duration) *ownership {
	o := &ownership{changed: make(chan struct{})}
	o.grant(epoch, d)
	return o
}

func (o *ownership) grant(epoch lovagestand.Epoch, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lovagestand.OwnershipLease{Shard: shardName, Epoch: epoch, Until: time.Now().Add(d)}
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *ownership) Lease(lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	o.mu.Lock()
	leaseHook := o.leaseHook
	o.mu.Unlock()
	if leaseHook != nil {
		leaseHook()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease, o.lease.Valid(time.Now())
}

// setLeaseHook sets the function that is called at the start of every call of
// Lease.
func (o *ownership) setLeaseHook(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaseHook = f
}

func (o *ownership) Owned() []lovagestand.ShardName { return []lovagestand.ShardName{shardName} }

func (o *ownership) Owner(lovagestand.ShardName) (lovagestand.Instance, bool) {
	return lovagestand.Instance{}, false
}

func (o *ownership) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

// memberView is a member list that has listed all workers since the start of
// the test.
type memberView struct {
	mu          sync.Mutex
	workers     []lovagestand.Worker
	departed    []lovagestand.Worker
	firstReadAt time.Time
}

func (v *memberView) Current() (lovagestand.Members, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return lovagestand.Members{Workers: v.workers}, true
}

// markLeaving marks a worker as leaving on the member list.
func (v *memberView) markLeaving(name lovagestand.WorkerName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, w := range v.workers {
		if w.Name == name {
			v.workers[i] = w.WithLeaving(true)
		}
	}
}

func (v *memberView) FirstReadAt() time.Time { return v.firstReadAt }

func (v *memberView) DepartedWorkers(lovagestand.ShardName) []lovagestand.Worker { return v.departed }

// catalog assigns all workers to one pool.
type catalog struct{}

// CheckWaiting returns an error for tasks of the route "removed" from two
// seconds after their submission.
func (catalog) CheckWaiting(t lovagestand.Task) error {
	if t.Route == "removed" && time.Since(t.Submitted) > 2*time.Second {
		return errors.New("the route was removed")
	}
	return nil
}

func (catalog) PoolOf(lovagestand.Worker) (lovagestand.PoolName, bool) { return "runners", true }

func (catalog) Leaving(lovagestand.Worker) bool { return false }

func (catalog) Policies(lovagestand.ShardName) []lovagestand.PoolPolicy {
	return []lovagestand.PoolPolicy{{Pool: "runners"}}
}

// fixture is one shard with two workers in a synctest bubble.
type fixture struct {
	*qt.C
	fleet     *fleet.Fleet
	view      *memberView
	ownership *ownership
	placer    *placer.Placer
	stop      context.CancelFunc
}

// inBubble runs f with a fixture in a synctest bubble, in which time is
// virtual.
func inBubble(t *testing.T, f func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var specs []lovagestand.Worker
		for _, n := range []lovagestand.WorkerName{"one", "two"} {
			specs = append(specs, lovagestand.Worker{
				Name: n, Address: string(n), Region: "malabar", Rack: "rack1", Runner: "glazedesk",
				Capacity: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 4096}, Slots: 8,
			})
		}
		x := &fixture{
			C:         qt.New(t),
			fleet:     fleet.New(specs, nil),
			view:      &memberView{workers: specs, firstReadAt: time.Now()},
			ownership: newOwnership(1, time.Hour),
		}
		x.open()
		defer func() {
			x.stop()
			synctest.Wait()
		}()
		f(x)
	})
}

// open starts a placer without any state, like that of a new owner.
func (x *fixture) open() {
	x.placer = placer.New(placer.Deps{
		Workers:   x.fleet,
		Members:   x.view,
		Catalog:   catalog{},
		Ownership: x.ownership,
		NewDecider: func(n lovagestand.ShardName) lovagestand.Decider {
			return naive.New(n)
		},
		MaxBodyBytes: 64 << 10,
		Log:          zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	go x.placer.Run(ctx)
	synctest.Wait()
}

// replaceOwner stops the placer as if its instance had crashed and opens one
// for a new owner.
func (x *fixture) replaceOwner(epoch lovagestand.Epoch) {
	x.stop()
	x.ownership.grant(epoch, time.Hour)
	x.open()
}

// newTask returns a task that reserves all processors of a worker.
func newTask(id string) lovagestand.Task {
	return lovagestand.Task{
		ID: lovagestand.TaskID(id), Key: lovagestand.RequestKey(id), Route: "quote", Pool: "runners",
		Team: "showroom", Class: lovagestand.ClassBatch,
		Resources: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 1024},
		Submitted: time.Now(), StartBy: time.Now().Add(time.Minute),
	}
}

// runFor returns the body of a request that makes its task run for d.
func runFor(d time.Duration) []byte {
	return fleet.Work{RunFor: fleet.Duration(d)}.Body()
}

// place sends a task to the placer and waits for the reply, as an entry does.
func (x *fixture) place(t lovagestand.Task, body []byte, resubmitted bool, window time.Duration) *placerpb.PlaceReply {
	reply, err := x.placer.Place(context.Background(), &placerpb.PlaceRequest{
		Shard:        string(shardName),
		Task:         placer.TaskMessage(t),
		Body:         body,
		Resubmitted:  resubmitted,
		WindowMillis: window.Milliseconds(),
		DeliverBy:    time.Now().Add(window).UnixNano(),
	})
	x.Assert(err, qt.IsNil)
	return reply
}

// settle places a task repeatedly until it has its final answer.
func (x *fixture) settle(t lovagestand.Task, body []byte, resubmitted bool) lovagestand.Answer {
	for {
		reply := x.place(t, body, resubmitted, 10*time.Second)
		switch reply.GetStatus() {
		case placerpb.Status_STATUS_FINAL:
			return placer.AnswerOf(reply.GetAnswer())
		case placerpb.Status_STATUS_WAITING, placerpb.Status_STATUS_NOT_OWNER:
			time.Sleep(100 * time.Millisecond)
		default:
			x.Fatalf("task refused: %v", reply)
		}
	}
}

// attempts counts the attempts at a request that the workers hold or retain.
func (x *fixture) attempts(key lovagestand.RequestKey) int {
	n := 0
	for _, w := range x.fleet.Workers() {
		state, err := w.State(context.Background())
		if err != nil {
			continue
		}
		for _, r := range state.Tasks {
			if r.Task.Key == key {
				n++
			}
		}
	}
	return n
}

// setFaults sets the same faults for all workers.
func (x *fixture) setFaults(f fleet.Faults) {
	for _, w := range x.fleet.Workers() {
		w.SetFaults(f)
	}
}
