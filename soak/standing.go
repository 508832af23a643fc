package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/runner"
	"lovagestand.example/lovagestand/standin/site"
)

const (
	// finishTime is how long after the end of faults and of the full load, or after its
	// acceptance, a job may stand at most, and maxStand for how long after that.
	finishTime = 14 * time.Second
	maxStand   = 3 * time.Second
	// standInterval is the time between two checks. After a check that comes stallTime late,
	// because the machine or the stand-in store was too slow, nothing has stood until then.
	standInterval = 100 * time.Millisecond
	stallTime     = 500 * time.Millisecond
)

// step is a step of a job.
type step struct {
	count    int
	milliCPU int64
	gang     bool
}

// stepsOf returns the steps of a job with a spec: count tasks, and one that follows.
func stepsOf(s site.Spec, count int) []step {
	return []step{{count, s.MilliCPU, s.Gang > 0}, {1, s.MilliCPU, false}}
}

// together returns how many tasks of the step start together at least.
func (s step) together() int {
	if s.gang {
		return s.count
	}
	return 1
}

// next returns the index of the first step that is not done, given all runs of the job. It
// returns false if something runs or nothing is left. The end of one member of a gang counts
// for all. Ends of which it is open whether they were noted before their worker crashed
// count if noted is set.
func (j *jobRecord) next(runs []runner.Run, noted bool) (int, bool) {
	done := make([]map[string]bool, len(j.steps))
	for _, r := range runs {
		if r.Ended.IsZero() {
			return 0, false
		}
		_, task, ok := job.ParseTaskName(r.Task)
		if !ok || task.Step >= len(j.steps) || r.Ending != lovagestand.EndingDone || r.WorkerCrashed && !noted {
			continue
		}
		if done[task.Step] == nil {
			done[task.Step] = map[string]bool{}
		}
		done[task.Step][r.Task] = true
	}
	for i, s := range j.steps {
		if len(done[i]) < s.count && (!s.gang || len(done[i]) == 0) {
			return i, true
		}
	}
	return 0, false
}

// room is the use of workers.
type room struct {
	workers int
	// free holds the free processors of each open worker.
	free           []int64
	used, capacity int64
}

// slots returns how many tasks of a step fit.
func (r room) slots(s step) int {
	n := 0
	for _, f := range r.free {
		n += int(f / s.milliCPU)
	}
	return n
}

// fitsTwice reports whether a step has room twice over while less than half is in use.
func (r room) fitsTwice(s step) bool {
	return r.slots(s) >= 2*s.together() && 2*r.used < r.capacity
}

// room returns the use of the workers in a set.
func (c *Cell) room(contains func(w lovagestand.FleetWorker) bool) room {
	var r room
	for i := range c.Workers {
		w, open := c.Site.Worker(i)
		if !contains(w) {
			continue
		}
		used := c.Site.Fleet.Used(w.Name).MilliCPU
		r.workers, r.used, r.capacity = r.workers+1, r.used+used, r.capacity+w.Capacity.MilliCPU
		if open {
			r.free = append(r.free, w.Capacity.MilliCPU-used)
		}
	}
	return r
}

func allWorkers(lovagestand.FleetWorker) bool { return true }

// firstShard returns the shard in which a job begins. A waiting job may move.
func (c *Cell) firstShard(id string) string { return c.shape.layout().ShardOfID(job.ID(id)) }

// inFirstShard returns the workers of the first shard of a job.
func (c *Cell) inFirstShard(id string) func(lovagestand.FleetWorker) bool {
	return func(w lovagestand.FleetWorker) bool { return c.shape.layout().ShardOfWorker(w) == c.firstShard(id) }
}

// allowedIn returns the workers in a set that the policy allows for a step of a job.
func (c *Cell) allowedIn(set func(lovagestand.FleetWorker) bool, id string, step int) func(lovagestand.FleetWorker) bool {
	name := job.Job{ID: job.ID(id)}.StepName(0, step)
	return func(w lovagestand.FleetWorker) bool {
		return set(w) && (c.shape.Advice == nil || c.shape.Advice.Allows(name, string(w.Name)))
	}
}

// standing follows the jobs of which nothing runs although the next step fits twice.
type standing struct {
	// from is when faults and the full load ended.
	from time.Time
	// since is when a job began to stand.
	since    map[string]time.Time
	reported map[string]bool
	// longest is the longest time that a job has stood, and longestText describes it.
	longest     time.Duration
	longestText string
	// use sums up the share of the capacity in use, for each check. stalled sums up how late
	// checks were.
	use     float64
	checks  int
	stalled time.Duration
}

// stands reports whether nothing of a job runs although its next step fits twice, whichever
// ends were noted.
func (j *jobRecord) stands(runs []runner.Run, r room) bool {
	for _, noted := range []bool{true, false} {
		if i, waits := j.next(runs, noted); !waits || !r.fitsTwice(j.steps[i]) {
			return false
		}
	}
	return true
}

// newStanding returns a standing for faults and full load that end at a time.
func newStanding(from time.Time) *standing {
	return &standing{from: from, since: map[string]time.Time{}, reported: map[string]bool{}}
}

// stall records how late a check is.
func (s *standing) stall(late time.Duration) {
	if late >= stallTime {
		s.stalled += late
		clear(s.since)
	}
}

// observe records whether an accepted job stands at a time, given its runs and the room of
// all workers, and returns for how long it has. The second value reports whether that is
// too long, once for each job.
func (s *standing) observe(id string, j jobRecord, runs []runner.Run, r room, now time.Time) (time.Duration, bool) {
	if !j.stands(runs, r) {
		delete(s.since, id)
		return 0, false
	}
	if _, ok := s.since[id]; !ok {
		s.since[id] = now
	}
	stood := now.Sub(s.since[id])
	from := s.from
	if j.accepted.After(from) {
		from = j.accepted
	}
	late := !s.reported[id] && stood >= maxStand && now.Sub(from) >= finishTime+maxStand
	s.reported[id] = s.reported[id] || late
	return stood, late
}

// WatchStanding checks until ctx is done that no accepted job stands for too long. Faults
// and the full load must be over. It returns a summary.
func (c *Callers) WatchStanding(ctx context.Context) string {
	s := newStanding(time.Now())
	store := platform.NewKeyspace(c.cell.Site.StoreAddress(), c.http, nil)
	for last := s.from; ctx.Err() == nil; {
		time.Sleep(standInterval)
		// Only the time of the reply matters.
		_, _ = store.Item(ctx, election.LayoutKey)
		now := time.Now()
		s.stall(now.Sub(last) - standInterval)
		c.checkStanding(s)
		last = now
	}
	return fmt.Sprintf("%.0f%% of the capacity in use; machine or store stalled for %.1f s; longest stand %.1f s, %s",
		100*s.use/float64(s.checks), s.stalled.Seconds(), s.longest.Seconds(), s.longestText)
}

// candidates returns the records of the accepted jobs that are neither cancelled nor
// completed.
func (c *Callers) candidates() map[string]jobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]jobRecord{}
	for id, record := range c.jobs {
		if !record.accepted.IsZero() && record.cancelled.IsZero() && record.completed.IsZero() {
			found[id] = *record
		}
	}
	return found
}

func (c *Callers) checkStanding(s *standing) {
	runs := map[string][]runner.Run{}
	for _, r := range c.cell.Site.Fleet.Runs() {
		id, _, _ := strings.Cut(r.Task, ".")
		runs[id] = append(runs[id], r)
	}
	all, now := c.cell.room(allWorkers), time.Now()
	s.use, s.checks = s.use+float64(all.used)/float64(all.capacity), s.checks+1
	for id, record := range c.candidates() {
		stood, late := s.observe(id, record, runs[id], all, now)
		if !late && stood <= s.longest {
			continue
		}
		i, _ := record.next(runs[id], true)
		text := fmt.Sprintf("job %s stands for %.1f s at %.3f, accepted at %.3f, %d of %d milliCPU in use; %s",
			id, stood.Seconds(), c.seconds(now), c.seconds(record.accepted), all.used, all.capacity, c.describeJob(id, i))
		if stood > s.longest {
			s.longest, s.longestText = stood, text
		}
		if late && !c.mayGiveUp(id) {
			c.recordViolation(false, "LOST: %s", text)
		}
	}
}

// describeJob returns a text about a step of a job and the room for it.
func (c *Callers) describeJob(id string, i int) string {
	c.mu.Lock()
	s := c.jobs[id].steps[i]
	c.mu.Unlock()
	inShard := c.cell.inFirstShard(id)
	shard, allowed, anywhere := c.cell.room(inShard), c.cell.room(c.cell.allowedIn(inShard, id, i)), c.cell.room(c.cell.allowedIn(allWorkers, id, i))
	return fmt.Sprintf("step %d: %d tasks of %d milliCPU; shard %s: %d of %d milliCPU in use; allowed there %d of %d workers, room for %d tasks; allowed in all shards %d, room for %d",
		i, s.count, s.milliCPU, c.cell.firstShard(id), shard.used, shard.capacity, allowed.workers, shard.workers, allowed.slots(s), anywhere.workers, anywhere.slots(s))
}
