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

// ownership is an ownership whose rights the test grants and takes.
type ownership struct {
	mu      sync.Mutex
	lease   lovagestand.OwnershipLease
	changed chan struct{}
	// leaseHook is called before every question for the right; may be nil.
	leaseHook func()
}

func newOwnership(epoch lovagestand.Epoch, d time.Duration) *ownership {
	r := &ownership{changed: make(chan struct{})}
	r.grant(epoch, d)
	return r
}

func (r *ownership) grant(epoch lovagestand.Epoch, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lovagestand.OwnershipLease{Shard: shardName, Epoch: epoch, Until: time.Now().Add(d)}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *ownership) Lease(lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	r.mu.Lock()
	leaseHook := r.leaseHook
	r.mu.Unlock()
	if leaseHook != nil {
		leaseHook()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.lease.Valid(time.Now())
}

// setLeaseHook sets what is called before every question for the right.
func (r *ownership) setLeaseHook(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseHook = f
}

func (r *ownership) Owned() []lovagestand.ShardName { return []lovagestand.ShardName{shardName} }

func (r *ownership) Owner(lovagestand.ShardName) (lovagestand.Instance, bool) {
	return lovagestand.Instance{}, false
}

func (r *ownership) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// memberView is a member list that knows all workers since the test began.
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

// markLeaving marks a worker as leaving on the list.
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

// catalog puts all workers in one pool.
type catalog struct{}

// CheckWaiting lets every task wait but those of the route "removed", two seconds
// after they came.
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

// fixture is one shard with two workers in a bubble of virtual time.
type fixture struct {
	*qt.C
	fleet     *fleet.Fleet
	view      *memberView
	ownership *ownership
	placer    *placer.Placer
	stop      context.CancelFunc
}

// inBubble runs f with a fixture in virtual time.
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

// open starts a placer that knows nothing, as a new owner does.
func (x *fixture) open() {
	x.placer = placer.New(placer.Deps{
		Workers:   x.fleet,
		Members:   x.view,
		Catalog:   catalog{},
		Ownership: x.ownership,
		NewDecider: func(n lovagestand.ShardName) lovagestand.Decider {
			return naive.New(n)
		},
		Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	go x.placer.Run(ctx)
	synctest.Wait()
}

// replaceOwner ends the owner as a crash would and opens a new one.
func (x *fixture) replaceOwner(epoch lovagestand.Epoch) {
	x.stop()
	x.ownership.grant(epoch, time.Hour)
	x.open()
}

// newTask returns a task that takes a whole worker.
func newTask(id string) lovagestand.Task {
	return lovagestand.Task{
		ID: lovagestand.TaskID(id), Key: lovagestand.RequestKey(id), Route: "quote", Pool: "runners",
		Team: "showroom", Class: lovagestand.ClassBatch,
		Resources: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 1024},
		Submitted: time.Now(), StartBy: time.Now().Add(time.Minute),
	}
}

// runFor returns the body of a request that runs for d.
func runFor(d time.Duration) []byte {
	return fleet.Work{RunFor: fleet.Span(d)}.Body()
}

// place sends a task to the placer and waits for it as an entry does.
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

// settle waits until a task has its answer.
func (x *fixture) settle(t lovagestand.Task, body []byte, resubmitted bool) lovagestand.Answer {
	for {
		reply := x.place(t, body, resubmitted, 10*time.Second)
		switch reply.GetStatus() {
		case placerpb.Status_STATUS_FINAL:
			return placer.AnswerOf(reply.GetAnswer())
		case placerpb.Status_STATUS_WAITING, placerpb.Status_STATUS_NOT_OWNER:
			time.Sleep(100 * time.Millisecond)
		default:
			x.Fatalf("refused: %v", reply)
		}
	}
}

// attempts counts the tasks of a key that all workers hold or retain.
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
