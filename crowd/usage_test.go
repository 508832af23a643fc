package crowd_test

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// usage watches the memory and the descriptors that processes use.
type usage struct {
	pids func() map[string]int

	mu sync.Mutex
	// descriptors is the largest number of open descriptors of each process.
	descriptors map[string]int
}

// watchUsage watches processes, by name, until the end of the test.
func watchUsage(c *qt.C, pids func() map[string]int) *usage {
	u := &usage{pids: pids, descriptors: map[string]int{}}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { u.watchDescriptors(stop) })
	c.Cleanup(func() { close(stop); watching.Wait() })
	return u
}

// watchDescriptors records the open descriptors until it is stopped.
func (u *usage) watchDescriptors(stop chan struct{}) {
	const interval = 50 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		for name, pid := range u.pids() {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err != nil {
				continue
			}
			u.mu.Lock()
			u.descriptors[name] = max(u.descriptors[name], len(entries))
			u.mu.Unlock()
		}
	}
}

// assertLimits asserts that each process lives and has used no more memory and descriptors
// than it may.
func (u *usage) assertLimits(c *qt.C) {
	c.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	pids := u.pids()
	var names []string
	for name := range pids {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pids[name]))
		c.Check(err, qt.IsNil)
		peak := statusKiB(status, "VmHWM") >> 10
		c.Logf("%s: peak %d MiB, %d descriptors", name, peak, u.descriptors[name])
		c.Check(peak > 0 && peak <= *memoryMiB, qt.IsTrue, qt.Commentf("%s: peak of resident memory %d MiB, allowed %d", name, peak, *memoryMiB))
		c.Check(u.descriptors[name] <= *descriptors, qt.IsTrue, qt.Commentf("%s: %d descriptors, allowed %d", name, u.descriptors[name], *descriptors))
	}
}

// statusKiB returns the value in KiB of a field of a process's status.
func statusKiB(status []byte, field string) int {
	n := 0
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte(field+":")); ok {
			_, _ = fmt.Sscan(string(value), &n)
		}
	}
	return n
}
