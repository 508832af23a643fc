package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

const (
	serviceWork = time.Hour
	// runnerCPU and runnerMemory are the capacity of each runner of the hmsw installation.
	runnerCPU, runnerMemory = 16000, 65536
)

// step returns a step of a submission.
func step(count int, cpu, mem int64, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": mem}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// awaitTask waits until a task runs.
func awaitTask(f *fleet, task string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.where(task) >= 0 {
			return true
		}
	}
	return false
}

// The bounds of the rule: when submissions are asked for after the end of the traffic, and for
// how long nothing of one may run.
const (
	finishAfter = 14 * time.Second
	idleFor     = 3 * time.Second
)

// crashLoop hands a service in whose tasks fail again and again, and an ordinary submission
// beside it, and checks that this one runs while most of the capacity is free.
func crashLoop(rec *record) (int, error) {
	const servicePath, jobPath, jobID = "/desk/00000000000000a1", "/plans/00000000000000b2", "00000000000000b2"
	const jobTasks, jobCPU, jobMemory = 4, 6000, 1024
	c, err := newCell(rec, 3)
	if err != nil {
		return failed, err
	}
	defer c.close()
	c.configure(1, []queue{{name: "desk", prefix: "/desk/", priority: 0, attempts: 2}, {name: "plans", prefix: "/plans/", priority: 2, attempts: 2}})
	f, err := newFleet(rec, c.store, 8, runnerCPU, runnerMemory, 4, func(task, _ string, run int64) behaviour {
		if strings.HasPrefix(task, jobID) {
			return behaviour{work: 2 * time.Second, how: "done", cpu: jobCPU, mem: jobMemory}
		}
		b := behaviour{work: serviceWork, how: "done", cpu: 2500, mem: 2048}
		if trouble() {
			// Each run fails 0.2 to 0.7 s after its start.
			h := fnv.New32a()
			fmt.Fprint(h, task, run)
			b.work, b.how = 200*time.Millisecond+time.Duration(h.Sum32()%500)*time.Millisecond, "failed"
		}
		return b
	})
	if err != nil {
		return failed, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	service := map[string]any{"spec": "service", "steps": []any{step(24, 2500, 2048, map[string]any{"persistent": true, "estimate_ms": 1000})}}
	if !c.submit(servicePath, service) {
		return failed, fmt.Errorf("the service was not accepted")
	}
	time.Sleep(15 * time.Second)
	job := map[string]any{"spec": "plan", "steps": []any{step(jobTasks, jobCPU, jobMemory, map[string]any{"estimate_ms": 2000})}}
	if !c.submit(jobPath, job) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	rec.printf("end of the traffic")
	time.Sleep(finishAfter)
	idle := 0.0
	var since time.Time
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		perRunner, running := f.usage()
		used, room, runs := int64(0), int64(0), 0
		for _, u := range perRunner {
			used += u.cpu
			room += min((runnerCPU-u.cpu)/jobCPU, (runnerMemory-u.mem)/jobMemory)
		}
		for name := range running {
			if strings.HasPrefix(name, jobID) {
				runs++
			}
		}
		if runs > 0 || room < 2*jobTasks || 2*used >= int64(len(perRunner))*runnerCPU || f.done(jobID) == jobTasks {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		idle = max(idle, time.Since(since).Seconds())
	}
	state := c.state(jobPath)
	rec.printf("state of the submission %q; for %.1f s on end nothing of it ran while there was capacity for it twice over and under half of all was in use", state, idle)
	if idle > idleFor.Seconds() {
		rec.printf("BROKEN LOST: nothing of an accepted submission runs")
		return broken, nil
	}
	return held, nil
}

// done returns how many tasks of a submission have ended done.
func (f *fleet) done(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if strings.HasPrefix(e.task, id) && e.how == "done" {
			n++
		}
	}
	return n
}

// The bounds of the rule for tasks that last: from when on after its last run a task counts as
// without a run, and how long the installation must have been calm before.
const (
	restartTime = 6 * time.Second
	calmBefore  = 4 * time.Second
)

// downtime measures how long a task that lasts has no run, as the rule counts it: from restartTime
// after its last run, and from calmBefore after the time from which the installation is calm.
func downtime(f *fleet, task string, lost, calm time.Time, length time.Duration) float64 {
	longest := 0.0
	var since time.Time
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		if f.where(task) >= 0 || now.Before(calm.Add(calmBefore)) || now.Before(lost.Add(restartTime)) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = now
		}
		longest = max(longest, now.Sub(since).Seconds())
	}
	return longest
}

// busyFleet loses a runner for good on which a task that lasts and an ordinary task are at work,
// while a scheduled submission starts a task on each of the other runners again and again, and
// checks how long the two are without a run.
func busyFleet(rec *record) (int, error) {
	const servicePath, planPath, schedulePath = "/desk/5c0e7a21d94b36f8", "/plans/00000000000000b2", "/checks/00000000000000c3"
	const serviceTask, planTask = "5c0e7a21d94b36f8.0.0.0", "00000000000000b2.0.0.0"
	const interval, occurrences, size = 180 * time.Millisecond, 400, 8
	c, err := newCell(rec, 3)
	if err != nil {
		return failed, err
	}
	defer c.close()
	c.configure(1, []queue{{"desk", "/desk/", 2, 3}, {"plans", "/plans/", 2, 3}, {"checks", "/checks/", 0, 2}})
	f, err := newFleet(rec, c.store, size, runnerCPU, runnerMemory, 4, func(name, _ string, _ int64) behaviour {
		switch name {
		case serviceTask:
			return behaviour{work: serviceWork, how: "done", cpu: 2000, mem: 1024}
		case planTask:
			return behaviour{work: 15 * time.Second, how: "done", cpu: 2000, mem: 1024}
		}
		return behaviour{work: 100 * time.Millisecond, how: "done", cpu: 1000, mem: 512}
	}, 0)
	if err != nil {
		return failed, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	service := step(1, 2000, 1024, map[string]any{"persistent": true, "estimate_ms": 1000})
	plan := step(1, 2000, 1024, map[string]any{"estimate_ms": 15000})
	check := step(size-1, 1000, 512, map[string]any{"estimate_ms": 100, "requires": "a", "max_per_server": 1})
	schedule := map[string]any{
		"spec": "check", "steps": []any{check}, "repeat_count": occurrences, "interval_ms": interval.Milliseconds(),
		"start_time_ms": time.Now().Add(time.Second).UnixMilli(),
	}
	if !c.submit(servicePath, map[string]any{"spec": "service", "steps": []any{service}}) || !c.submit(planPath, map[string]any{"spec": "plan", "steps": []any{plan}}) || !c.submit(schedulePath, schedule) {
		return failed, fmt.Errorf("a submission was not accepted")
	}
	finish := time.Now().Add(finishAfter)
	rec.printf("end of the traffic")
	if !awaitTask(f, serviceTask, 10*time.Second) || !awaitTask(f, planTask, 10*time.Second) {
		return failed, fmt.Errorf("a task did not start")
	}
	at := f.where(serviceTask)
	if !f.others[at] || f.where(planTask) != at {
		return failed, fmt.Errorf("the tasks are not on the runner of the other kind")
	}
	time.Sleep(6 * time.Second)
	var lost time.Time
	if trouble() {
		lost = time.Now()
		f.crash(at)
	}
	idle := make(chan float64)
	go func() { idle <- f.idleTime(planTask, finish, 45*time.Second) }()
	longest := downtime(f, serviceTask, lost, lost, 45*time.Second)
	planIdle := <-idle
	rec.printf("state of the ordinary submission %q, of the service %q, of the schedule %q", c.state(planPath), c.state(servicePath), c.state(schedulePath))
	rec.printf("the service had no run for %.2f s on end, counted from %v after its last run and after %v of calm", longest, restartTime, calmBefore)
	rec.printf("nothing of the ordinary submission ran for %.2f s on end, counted from %v after the end of the traffic", planIdle, finishAfter)
	if longest > idleFor.Seconds() || planIdle > idleFor.Seconds() {
		rec.printf("BROKEN LOST: accepted submissions are not started again, with capacity for them on seven runners")
		return broken, nil
	}
	return held, nil
}

// suspects loses a runner for good on which many small services are at work. Those that need its
// kind have no room elsewhere. Two submissions of lower priority have, and the case checks how
// long they are without a run.
func suspects(rec *record) (int, error) {
	const fillerTask, serviceTask, planTask = "00000000000000a1.0.0.0", "5c0e7a21d94b36f8.0.0.0", "00000000000000b2.0.0.0"
	const size, small = 8, 9
	c, err := newCell(rec, 3)
	if err != nil {
		return failed, err
	}
	defer c.close()
	c.configure(1, []queue{{"desk", "/desk/", 2, 3}, {"plans", "/plans/", 2, 3}, {"checks", "/checks/", 0, 2}})
	needs := map[string]int64{fillerTask: 15000, serviceTask: 2000, planTask: 2000}
	f, err := newFleet(rec, c.store, size, runnerCPU, runnerMemory, 4, func(name, _ string, _ int64) behaviour {
		switch name {
		case fillerTask, serviceTask:
			return behaviour{work: serviceWork, how: "done", cpu: needs[name], mem: 1024}
		case planTask:
			return behaviour{work: 15 * time.Second, how: "done", cpu: needs[name], mem: 1024}
		}
		return behaviour{work: serviceWork, how: "done", cpu: 1200, mem: 512}
	}, 0, 1)
	if err != nil {
		return failed, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	submit := func(path string, cpu int64, more map[string]any) bool {
		return c.submit(path, map[string]any{"spec": "work", "steps": []any{step(1, cpu, 512, more)}})
	}
	if !submit("/desk/00000000000000a1", needs[fillerTask], map[string]any{"persistent": true, "estimate_ms": 1000, "requires": "b"}) || !awaitTask(f, fillerTask, 10*time.Second) {
		return failed, fmt.Errorf("the first service was not accepted or does not run")
	}
	for n := range small {
		task := fmt.Sprintf("00000000000000c%d.0.0.0", n)
		if !submit("/checks/"+task[:16], 1200, map[string]any{"persistent": true, "estimate_ms": 1000, "requires": "b"}) || !awaitTask(f, task, 10*time.Second) {
			return failed, fmt.Errorf("a small service was not accepted or does not run")
		}
	}
	if !submit("/desk/5c0e7a21d94b36f8", needs[serviceTask], map[string]any{"persistent": true, "estimate_ms": 1000}) || !submit("/plans/00000000000000b2", needs[planTask], map[string]any{"estimate_ms": 15000}) {
		return failed, fmt.Errorf("a submission was not accepted")
	}
	finish := time.Now().Add(finishAfter)
	rec.printf("end of the traffic")
	if !awaitTask(f, serviceTask, 10*time.Second) || !awaitTask(f, planTask, 10*time.Second) {
		return failed, fmt.Errorf("a task did not start")
	}
	at := f.where(serviceTask)
	if !f.others[at] || at == f.where(fillerTask) || f.where(planTask) != at || f.where("00000000000000c0.0.0.0") != at {
		return failed, fmt.Errorf("the tasks are not on one runner of the other kind")
	}
	time.Sleep(3 * time.Second)
	var lost time.Time
	if trouble() {
		lost = time.Now()
		f.crash(at)
	}
	idle := make(chan float64)
	go func() { idle <- f.idleTime(planTask, finish, 45*time.Second) }()
	longest := downtime(f, serviceTask, lost, lost, 45*time.Second)
	planIdle := <-idle
	rec.printf("state of the ordinary submission %q, of the service %q", c.state("/plans/00000000000000b2"), c.state("/desk/5c0e7a21d94b36f8"))
	rec.printf("the service had no run for %.2f s on end, counted from %v after its last run and after %v of calm", longest, restartTime, calmBefore)
	rec.printf("nothing of the ordinary submission ran for %.2f s on end, counted from %v after the end of the traffic", planIdle, finishAfter)
	if longest > idleFor.Seconds() || planIdle > idleFor.Seconds() {
		rec.printf("BROKEN LOST: accepted submissions are not started again, with six idle runners")
		return broken, nil
	}
	return held, nil
}

// idleTime returns for how long on end a task of an ordinary submission has neither run nor ended
// done, from a time on.
func (f *fleet) idleTime(task string, from time.Time, length time.Duration) float64 {
	longest := 0.0
	var since time.Time
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if time.Now().Before(from) || f.where(task) >= 0 || f.done(task) > 0 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since).Seconds())
	}
	return longest
}
