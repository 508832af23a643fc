package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// vanishedOwners lets the machine that owns the shard vanish again and again, each time replaced by
// another one, and checks 14 s after the end of the traffic whether accepted submissions run.
func vanishedOwners(rec *record) (int, error) {
	const size, losses, tasks = 8, 26, 24
	const between, interval, calm = 3300 * time.Millisecond, 400 * time.Millisecond, 4 * time.Second
	c, err := newCell(rec, 3)
	if err != nil {
		return failed, err
	}
	defer c.close()
	c.configure(1, []queue{{"checks", "/checks/", 0, 2}})
	f, err := newFleet(rec, c.store, size, runnerCPU, runnerMemory, 4, func(string, string, int64) behaviour {
		return behaviour{work: 250 * time.Millisecond, how: "done", cpu: 500, mem: 256}
	})
	if err != nil {
		return failed, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	accepted := map[string]bool{}
	nodes := append([]*node(nil), c.nodes...)
	stop, sent := make(chan struct{}), sync.WaitGroup{}
	body := map[string]any{"spec": "check", "steps": []any{step(tasks, 500, 256, map[string]any{"estimate_ms": 250, "max_per_server": tasks / size})}}
	submit := func(id string, n int) {
		for i := range 5 {
			mu.Lock()
			at := nodes[(n+i)%len(nodes)]
			mu.Unlock()
			if status, _ := c.call(at, "POST", "/checks/"+id, body); status/100 == 2 {
				mu.Lock()
				accepted[id] = true
				mu.Unlock()
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	sent.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				sent.Go(func() { submit(fmt.Sprintf("%016x", n), n) })
			}
		}
	})
	time.Sleep(calm)
	for n := range losses {
		if owner := c.owner(); trouble() && owner != nil {
			if err := c.replace(owner, 4+n); err != nil {
				return failed, err
			}
			mu.Lock()
			nodes = append([]*node(nil), c.nodes...)
			mu.Unlock()
		}
		time.Sleep(between)
	}
	close(stop)
	sent.Wait()
	rec.printf("end of the traffic, %d submissions accepted", len(accepted))
	time.Sleep(finishAfter)
	waiting := func() map[string]bool {
		_, running := f.usage()
		out := map[string]bool{}
		for id := range accepted {
			if f.done(id) < tasks {
				out[id] = true
			}
		}
		for name := range running {
			delete(out, strings.SplitN(name, ".", 2)[0])
		}
		return out
	}
	lost := waiting()
	for end := time.Now().Add(idleFor + 100*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now := waiting()
		for id := range lost {
			if !now[id] {
				delete(lost, id)
			}
		}
	}
	open := []int64{}
	for _, r := range f.runners {
		open = append(open, r.channels.Load())
	}
	for id := range lost {
		rec.printf("state of one of them: %q", c.state("/checks/"+id))
		break
	}
	rec.printf("%d accepted submissions had nothing running for %v; channels of the runners: %v", len(lost), idleFor, open)
	if len(lost) > 0 {
		rec.printf("BROKEN LOST: nothing of accepted submissions runs on idle runners")
		return broken, nil
	}
	return held, nil
}
