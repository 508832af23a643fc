package peer

//go:generate protoc -I .. --go_out=.. --go_opt=paths=source_relative --twirp_out=.. --twirp_opt=paths=source_relative ../peer/peers.proto

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

func toMember(i lovagestand.Instance, revision uint64, age time.Duration) *Member {
	return &Member{
		Id:            string(i.ID),
		Address:       i.Address,
		Region:        string(i.Region),
		FailureDomain: string(i.FailureDomain),
		Leaving:       i.Leaving,
		Revision:      revision,
		AgeMs:         age.Milliseconds(),
	}
}

func fromMember(m *Member) lovagestand.Instance {
	return lovagestand.Instance{
		ID:            lovagestand.InstanceID(m.GetId()),
		Address:       m.GetAddress(),
		Region:        lovagestand.RegionName(m.GetRegion()),
		FailureDomain: lovagestand.FailureDomain(m.GetFailureDomain()),
		Leaving:       m.GetLeaving(),
	}
}

func toMessages(messages []owner.Message) []*OwnerMessage {
	list := make([]*OwnerMessage, 0, len(messages))
	for _, m := range messages {
		list = append(list, &OwnerMessage{
			Kind:           int32(m.Kind),
			Entry:          toEntry(m.Entry),
			SentNanos:      int64(m.Sent),
			Attempt:        m.Attempt,
			RemainingNanos: int64(m.Remaining),
			ByHand:         m.WithoutStore,
		})
	}
	return list
}

func fromMessages(list []*OwnerMessage) []owner.Message {
	messages := make([]owner.Message, 0, len(list))
	for _, m := range list {
		messages = append(messages, owner.Message{
			Kind:         owner.MessageKind(m.GetKind()),
			Entry:        fromEntry(m.GetEntry()),
			Sent:         time.Duration(m.GetSentNanos()),
			Attempt:      m.GetAttempt(),
			Remaining:    time.Duration(m.GetRemainingNanos()),
			WithoutStore: m.GetByHand(),
		})
	}
	return messages
}

func toEntry(e owner.Entry) *OwnerEntry {
	return &OwnerEntry{
		Shard:    string(e.Shard),
		Region:   string(e.Region),
		Epoch:    uint64(e.Epoch),
		Owner:    string(e.Owner),
		Standbys: toStrings(e.Standbys),
		Settled:  e.Settled,
	}
}

func fromEntry(e *OwnerEntry) owner.Entry {
	entry := owner.Entry{
		Shard:   lovagestand.ShardName(e.GetShard()),
		Region:  lovagestand.RegionName(e.GetRegion()),
		Epoch:   lovagestand.Epoch(e.GetEpoch()),
		Owner:   lovagestand.InstanceID(e.GetOwner()),
		Settled: e.GetSettled(),
	}
	for _, id := range e.GetStandbys() {
		entry.Standbys = append(entry.Standbys, lovagestand.InstanceID(id))
	}
	return entry
}

func toStrings(ids []lovagestand.InstanceID) []string {
	var list []string
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}

func toDigest(v DigestView) *ShardDigest {
	d := &ShardDigest{
		Shard: string(v.Digest.Shard),
		Epoch: uint64(v.Epoch),
		Owner: string(v.Owner),
		AgeMs: v.Age.Milliseconds(),
	}
	for _, pool := range v.Digest.Pools {
		d.Pools = append(d.Pools, toPool(pool))
	}
	return d
}

func fromDigest(d *ShardDigest) DigestView {
	v := DigestView{
		Digest: lovagestand.Digest{Shard: lovagestand.ShardName(d.GetShard())},
		Epoch:  lovagestand.Epoch(d.GetEpoch()),
		Owner:  lovagestand.InstanceID(d.GetOwner()),
		Age:    time.Duration(d.GetAgeMs()) * time.Millisecond,
	}
	for _, pool := range d.GetPools() {
		v.Digest.Pools = append(v.Digest.Pools, fromPool(pool))
	}
	return v
}

func toPool(d lovagestand.PoolDigest) *PoolDigest {
	p := &PoolDigest{
		Pool:            string(d.Pool),
		Capacity:        toAmount(d.Capacity),
		Free:            toAmount(d.Free),
		Largest:         toAmount(d.Largest),
		LargestCapacity: toAmount(d.LargestCapacity),
		Workers:         int64(d.Workers),
		Running:         int64(d.Running),
	}
	for _, class := range lovagestand.Classes() {
		waiting, wait := d.Waiting[class], d.Wait[class]
		if waiting != 0 || wait != 0 {
			p.Classes = append(p.Classes, &ClassDigest{Class: string(class), Waiting: int64(waiting), WaitNanos: int64(wait)})
		}
	}
	return p
}

func fromPool(p *PoolDigest) lovagestand.PoolDigest {
	d := lovagestand.PoolDigest{
		Pool:            lovagestand.PoolName(p.GetPool()),
		Capacity:        fromAmount(p.GetCapacity()),
		Free:            fromAmount(p.GetFree()),
		Largest:         fromAmount(p.GetLargest()),
		LargestCapacity: fromAmount(p.GetLargestCapacity()),
		Workers:         int(p.GetWorkers()),
		Running:         int(p.GetRunning()),
		Waiting:         map[lovagestand.Class]int{},
		Wait:            map[lovagestand.Class]time.Duration{},
	}
	for _, c := range p.GetClasses() {
		class := lovagestand.Class(c.GetClass())
		d.Waiting[class] = int(c.GetWaiting())
		d.Wait[class] = time.Duration(c.GetWaitNanos())
	}
	return d
}

func toAmount(r lovagestand.Resources) *Amount {
	return &Amount{MilliCpu: r.MilliCPU, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

func fromAmount(a *Amount) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: a.GetMilliCpu(), MemoryMiB: a.GetMemoryMib(), Accelerators: a.GetAccelerators()}
}
