package claim

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// fakeStore is an in-memory store whose calls take virtual time. The function in
// its field fault injects faults into them.
type fakeStore struct {
	lovagestand.Store
	mu sync.Mutex
	// fault returns the fault of a call, which is "put", "get" or "list".
	fault  func(call string) fault
	values map[string]lovagestand.Value
	puts   int
}

// fault is a fault that is injected into one call of a store.
type fault struct {
	// delayBefore delays the effect, delayAfter the reply.
	delayBefore, delayAfter time.Duration
	// dropCall drops the call and dropReply the reply. If lateEffect is set, the
	// call fails at once and takes effect after that time.
	dropCall, dropReply bool
	lateEffect          time.Duration
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		fault:  func(string) fault { return fault{delayAfter: 2 * time.Millisecond} },
		values: make(map[string]lovagestand.Value),
	}
}

// setFault injects the fault f into all later calls.
func (s *fakeStore) setFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = func(string) fault { return f }
}

// withFault applies the effect of a call, subject to the fault that is injected
// into the call.
func (s *fakeStore) withFault(ctx context.Context, call string, effect func()) error {
	s.mu.Lock()
	f := s.fault(call)
	s.mu.Unlock()
	unavailable := &lovagestand.UnavailableError{System: "store", Reason: "fault"}
	if f.lateEffect > 0 {
		time.AfterFunc(f.lateEffect, effect)
		return unavailable
	}
	time.Sleep(f.delayBefore)
	if f.dropCall {
		return unavailable
	}
	effect()
	time.Sleep(f.delayAfter)
	if f.dropReply || ctx.Err() != nil {
		return unavailable
	}
	return nil
}

func (s *fakeStore) Put(ctx context.Context, key string, data []byte, previous lovagestand.Revision, _ lovagestand.LeaseID) (revision lovagestand.Revision, err error) {
	// These are not the named results, because a late effect sets them after the
	// call has returned.
	var result struct {
		revision lovagestand.Revision
		err      error
	}
	failure := s.withFault(ctx, "put", func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.puts++
		v := s.values[key]
		if v.Revision != previous {
			result.err = &lovagestand.ConflictError{Key: key, Expected: previous, Found: v.Revision}
			return
		}
		result.revision = previous + 1
		s.values[key] = lovagestand.Value{Key: key, Data: data, Revision: result.revision}
	})
	if failure != nil {
		return 0, failure
	}
	return result.revision, result.err
}

func (s *fakeStore) Get(ctx context.Context, key string) (v lovagestand.Value, err error) {
	err = s.withFault(ctx, "get", func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		v = s.values[key]
	})
	return v, err
}

func (s *fakeStore) List(ctx context.Context, prefix string) (list []lovagestand.Value, err error) {
	err = s.withFault(ctx, "list", func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for key, v := range s.values {
			if strings.HasPrefix(key, prefix) {
				list = append(list, v)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	})
	return list, err
}

func (s *fakeStore) Delete(_ context.Context, key string, previous lovagestand.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[key]
	if v.Revision != previous {
		return &lovagestand.ConflictError{Key: key, Expected: previous, Found: v.Revision}
	}
	delete(s.values, key)
	return nil
}

// archives returns the keys of the archives of partition 0, in order.
func (s *fakeStore) archives() (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.values {
		if strings.HasPrefix(key, string(PartitionName(0))+"/archive-") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ownershipPeriod is a period in which one instance owns partition 0.
type ownershipPeriod struct {
	owner       lovagestand.InstanceID
	epoch       lovagestand.Epoch
	from, until time.Time
}

// ownershipHistory contains all ownership periods of a run. It is fixed before the
// run starts.
type ownershipHistory []ownershipPeriod

// fakeOwnership is the view that one instance has of an ownership history.
type fakeOwnership struct {
	self    lovagestand.InstanceID
	periods ownershipHistory
	// lag is the delay after which the instance sees a change of owner.
	lag time.Duration
	// ignoreEnd makes the instance ignore the end of its last lease.
	ignoreEnd bool
}

func (o fakeOwnership) Lease(name lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	for _, t := range slices.Backward(o.periods) {
		if o.ignoreEnd && t.owner == o.self {
			t.until = time.Now().Add(time.Hour)
		}
		if name == PartitionName(0) && t.owner == o.self && !time.Now().Before(t.from) && time.Now().Before(t.until) {
			return lovagestand.OwnershipLease{Shard: name, Epoch: t.epoch, Until: t.until}, true
		}
	}
	return lovagestand.OwnershipLease{}, false
}

func (o fakeOwnership) Owned() []lovagestand.ShardName { return nil }

func (o fakeOwnership) Owner(lovagestand.ShardName) (owner lovagestand.Instance, ok bool) {
	for _, t := range o.periods {
		if !time.Now().Before(t.from.Add(o.lag)) {
			owner, ok = lovagestand.Instance{ID: t.owner}, true
		}
	}
	return owner, ok
}

func (o fakeOwnership) Changed() <-chan struct{} {
	changed := make(chan struct{})
	for _, t := range o.periods {
		if d := time.Until(t.from.Add(o.lag)); d > 0 {
			time.AfterFunc(d, func() { close(changed) })
			break
		}
	}
	return changed
}

// soleOwner returns the ownership of an instance that owns partition 0 for longer
// than any test runs.
func soleOwner(epoch lovagestand.Epoch) fakeOwnership {
	return fakeOwnership{self: "a", periods: ownershipHistory{
		{owner: "a", epoch: epoch, from: time.Now(), until: time.Now().Add(1000 * time.Hour)},
	}}
}
