package pool

import (
	"fmt"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// Explain implements [lovagestand.Decider].
func (d *Decider) Explain(_ time.Time, id lovagestand.TaskID) string {
	s := d.tasks.find(id)
	if s == none {
		return "not known in this shard"
	}
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	switch {
	case taskChart.Allows(r.state, eventPreempt):
		return fmt.Sprintf("runs on worker %s", p.members[r.row].worker.Name)
	case taskChart.Allows(r.state, eventFinish):
		return fmt.Sprintf("is being stopped on worker %s for other work", p.members[r.row].worker.Name)
	}
	return d.explainWaiting(p, s)
}

func (d *Decider) explainWaiting(p *poolState, s slot) string {
	r := d.tasks.at(s)
	shape := queue.Shape{Rank: r.rank, Tasks: 1, Size: r.size}
	if r.gang >= 0 {
		g := &d.gangs.rows[r.gang]
		if len(g.waiting) < g.size {
			return fmt.Sprintf("waits for the rest of its gang: %d of %d are here", len(g.waiting), g.size)
		}
		shape.Tasks = int32(g.size)
	}
	switch {
	case !p.accounts.WithinQuota(r.team, totalOf(shape)):
		return fmt.Sprintf("waits because team %s is at its quota", p.teams[r.team])
	case !p.leavesHeadroom(shape):
		return fmt.Sprintf("waits because %.0f%% of the pool are kept free for urgent work", 100*p.headroom.share)
	case r.gang < 0 && r.row != worker.None:
		return fmt.Sprintf("waits for worker %s, which takes nothing else meanwhile", p.members[r.row].worker.Name)
	}
	return p.explainWorkers(r.size)
}

// The reasons why a worker does not take a task. The first that applies counts.
const (
	reasonNone = iota
	reasonLeaving
	reasonQuarantined
	reasonClaimed
	reasonSlots
	reasonCPU
	reasonMemory
	reasonAccelerators
	reasons
)

var reasonTexts = [reasons]string{
	"could take it at the next decision", "are leaving", "are quarantined because they failed everything", "are kept for another task",
	"have no slot free", "have too few processors free", "have too little memory free", "have too few accelerators free",
}

// explainWorkers counts the pool's workers by the reason why they do not take a
// task of a size.
func (p *poolState) explainWorkers(size lovagestand.Resources) string {
	var counts [reasons]int
	for i := range p.members {
		if p.members[i].state != stateGone {
			counts[p.reason(worker.Row(i), size)]++
		}
	}
	var parts []string
	for reason, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, reasonTexts[reason]))
		}
	}
	if len(parts) == 0 {
		return "waits because the pool has no workers here"
	}
	return "waits; of the pool's workers here " + strings.Join(parts, ", ")
}

func (p *poolState) reason(row worker.Row, size lovagestand.Resources) int {
	m := &p.members[row]
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	switch {
	case m.state == stateLeaving:
		return reasonLeaving
	case m.state == stateQuarantined:
		return reasonQuarantined
	case m.claimed:
		return reasonClaimed
	case used >= most:
		return reasonSlots
	case size.MilliCPU > free.MilliCPU:
		return reasonCPU
	case size.MemoryMiB > free.MemoryMiB:
		return reasonMemory
	case size.Accelerators > free.Accelerators:
		return reasonAccelerators
	}
	return reasonNone
}
