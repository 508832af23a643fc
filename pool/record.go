package pool

import (
	"math"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/team"
	"lovagestand.example/lovagestand/worker"
)

// slot is the index of a task in a [table].
type slot int32

// none is the slot of no task.
const none = slot(-1)

// record is a task in compact form. Times are in nanoseconds since 1970.
type record struct {
	id        lovagestand.TaskID
	key       lovagestand.RequestKey
	size      lovagestand.Resources
	submitted int64
	startBy   int64
	runTime   time.Duration
	// sequenceOrStart is the sequence number of a waiting task and the start
	// time of a placed one.
	sequenceOrStart int64
	route           int32
	gang            int32
	team            team.ID
	// handle identifies a waiting task in its pool's queue; it is -1 if the task
	// is not in the queue.
	handle queue.Handle
	// row is the worker of a placed task, and the claimed worker of a waiting
	// task if it has one.
	row worker.Row
	// prev and next link the tasks of a worker, or the waiting urgent tasks
	// without a claim.
	prev, next slot
	// submittedSeconds is when the task was submitted to this decider, in
	// seconds since 1970. The age of a preempted task starts at zero when it is
	// submitted again, so that preempted tasks do not preempt others in chains.
	submittedSeconds uint32
	pool             uint16
	rank             int8
	state            chart.State
	flags            flags
}

// flags are the boolean properties of a task.
type flags uint8

const (
	flagIdempotent flags = 1 << iota
	flagExclusive
	flagCheckpoints
	// flagUrgentListed is set while a waiting task is in its pool's list of
	// urgent tasks.
	flagUrgentListed
)

const (
	// noTime stands for the zero time, and for times after lastYear.
	noTime = math.MinInt64
	// firstYear and lastYear bound the times that are stored unchanged; earlier
	// times are stored as 1970.
	firstYear, lastYear = 1970, 2261
)

func nanoseconds(t time.Time) int64 {
	switch {
	case t.IsZero() || t.Year() > lastYear:
		return noTime
	case t.Year() < firstYear:
		return 0
	}
	return t.UnixNano()
}

func timeOf(n int64) time.Time {
	if n == noTime {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

func flagsOf(t *lovagestand.Task) flags {
	var f flags
	if t.Idempotent {
		f |= flagIdempotent
	}
	if t.Exclusive {
		f |= flagExclusive
	}
	if t.Checkpoints {
		f |= flagCheckpoints
	}
	return f
}

func (f flags) has(g flags) bool {
	return f&g != 0
}

// classes holds the classes in order of their rank.
var classes = lovagestand.Classes()

// The ranks of the classes. A lower rank is served first.
const (
	rankUrgent int8 = iota
	rankService
	rankGang
	rankBatch
)

// rankOf returns the rank of a class. An unknown class counts as batch.
func rankOf(c lovagestand.Class) int8 {
	for i := range classes {
		if classes[i] == c {
			return int8(i)
		}
	}
	return rankBatch
}

// taskOf returns the task that a record stands for.
func (d *Decider) taskOf(r *record) lovagestand.Task {
	t := lovagestand.Task{
		ID: r.id, Key: r.key, Route: d.routes.names[r.route], Pool: d.pools[r.pool].name,
		Team: d.pools[r.pool].teams[r.team], Class: classes[r.rank], Resources: r.size,
		Idempotent: r.flags.has(flagIdempotent), Exclusive: r.flags.has(flagExclusive),
		Checkpoints: r.flags.has(flagCheckpoints),
		Submitted:   timeOf(r.submitted), StartBy: timeOf(r.startBy), RunTime: r.runTime,
	}
	if r.gang >= 0 {
		t.Gang = d.gangs.rows[r.gang].name
		t.GangSize = d.gangs.rows[r.gang].size
	}
	return t
}

// newRecord creates the record of a task in its initial state.
func (d *Decider) newRecord(t *lovagestand.Task) slot {
	p := d.pool(t.Pool)
	s := d.tasks.open(t.ID)
	r := d.tasks.at(s)
	*r = record{
		id: t.ID, key: t.Key, size: t.Resources, submitted: nanoseconds(t.Submitted),
		startBy: nanoseconds(t.StartBy), runTime: t.RunTime, route: d.routes.id(t.Route),
		gang: -1, team: p.team(t.Team), handle: -1, row: worker.None, prev: none, next: none,
		pool: p.number, rank: rankOf(t.Class), state: taskChart.Initial(),
		flags: flagsOf(t),
	}
	if t.Gang != "" {
		r.gang = d.gangs.acquire(gangKey{p.number, t.Gang}, t.GangSize)
	}
	return s
}

// forget removes the record of a task that has reached a final state.
func (d *Decider) forget(s slot) {
	r := d.tasks.at(s)
	if r.gang >= 0 {
		d.gangs.release(r.gang)
	}
	d.tasks.close(s)
}

// transition applies an event of the task chart. It panics if the event is not
// allowed, so where that is possible, callers check [chart.Chart.Allows] first.
func (r *record) transition(e chart.Event) {
	next, err := taskChart.Next(r.state, e)
	if err != nil {
		panic(err)
	}
	r.state = next
}

// age returns how long a task has waited in this decider, to the second.
func (r *record) age(now int64) time.Duration {
	return time.Duration(now) - time.Duration(r.submittedSeconds)*time.Second
}
