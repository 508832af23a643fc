package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"lovagestand.example/lovagestand/standin/keyspace"
)

// injectedFault is a fault that lasts until heal is called.
type injectedFault struct {
	description string
	// targets are the nodes and workers that the fault disturbs, or the store.
	targets []string
	heal    func() error
}

// fault injects a fault of one kind, whose target and parameters are random.
type fault func(r *rand.Rand, c *Cell) injectedFault

func noHeal() error { return nil }

// pickNode returns a random node, in half of the cases the owner of a shard if
// there is one.
func (c *Cell) pickNode(r *rand.Rand) *Node {
	n := c.Nodes[r.IntN(len(c.Nodes))]
	if targetsOwner := r.IntN(2) == 0; !targetsOwner {
		return n
	}
	owner := c.pickOwner(r)
	for _, o := range c.Nodes {
		if o.Name == owner {
			return o
		}
	}
	return n
}

func (c *Cell) nodeNames() []string {
	names := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		names[i] = n.Name
	}
	return names
}

func (c *Cell) workerNames() []string {
	names := make([]string, len(c.Workers))
	for i := range c.Workers {
		names[i] = string(c.Site.WorkerName(i))
	}
	return names
}

// signalFault returns a fault that sends a signal to a node.
func signalFault(description string, s syscall.Signal, heal func(n *Node) error) fault {
	return func(r *rand.Rand, c *Cell) injectedFault {
		n := c.pickNode(r)
		n.Signal(s)
		return injectedFault{description + " " + n.Name, []string{n.Name}, func() error { return heal(n) }}
	}
}

func resume(n *Node) error {
	n.Signal(syscall.SIGCONT)
	return nil
}

// storePollInterval is how often a restarted worker checks whether the store is
// undisturbed again, so that it can register.
const storePollInterval = 10 * time.Millisecond

// restartWorker crashes a worker and starts it again as a new incarnation, which
// answers at once. The worker registers up to two seconds later, and not before
// the store is available again.
func restartWorker(r *rand.Rand, c *Cell) injectedFault {
	i := r.IntN(len(c.Workers))
	downtime, registerDelay := randomBetween(r, 50*time.Millisecond, 400*time.Millisecond), randomBetween(r, 0, 2*time.Second)
	c.Site.Crash(i)
	// Requests on the way to the crashed process must not reach the new one.
	c.Workers[i].Reset()
	go func() {
		time.Sleep(downtime)
		c.Workers[i].Reset()
		c.Site.Restart(i)
		time.Sleep(registerDelay)
		for c.disturbed(time.Now(), 0, storeTarget) {
			time.Sleep(storePollInterval)
		}
		// Register fails only if the worker can't be encoded, which doesn't happen.
		_ = c.Site.Register(i)
	}()
	name := string(c.Site.WorkerName(i))
	return injectedFault{fmt.Sprint(name, " is down for ", downtime, " and registers ", registerDelay, " later"), []string{name}, noHeal}
}

// heartbeatInterval is the time between two heartbeats of a worker, as in
// settingsTemplate.
const heartbeatInterval = time.Second

// sendHeartbeats lets the workers register again and again until the cell is closed, unless
// the store is disturbed.
func (c *Cell) sendHeartbeats() {
	for {
		select {
		case <-c.closed:
			return
		case <-time.After(heartbeatInterval):
		}
		for i := range c.Workers {
			if !c.isSilent(i) && !c.disturbed(time.Now(), 0, storeTarget) {
				// Heartbeat fails only if the worker can't be encoded, which doesn't happen.
				_ = c.Site.Heartbeat(i)
			}
		}
	}
}

const (
	// drainTime is how long a worker that leaves continues at least.
	drainTime = 2500 * time.Millisecond
	// maxLinger is how much longer it continues at most.
	maxLinger = 4 * time.Second
)

// drainWorker lets a worker leave as planned, and a new incarnation join. Meanwhile its
// link is cut for a time in one of the modes of a proxy, in half of the cases so that
// connections are refused. The cut begins while tasks are running that began before.
func drainWorker(r *rand.Rand, c *Cell) injectedFault {
	i := r.IntN(len(c.Workers))
	for n := 0; !c.beginLeave(i); n++ {
		if n == len(c.Workers) {
			return injectedFault{"no worker leaves: all are leaving", nil, noHeal}
		}
		i = (i + 1) % len(c.Workers)
	}
	lasting, mode := drainTime+randomBetween(r, 0, maxLinger), Mode(r.IntN(2*int(modeCount)))
	cutAfter, cutFor := randomBetween(r, 0, 400*time.Millisecond), randomBetween(r, 200*time.Millisecond, drainTime)
	if mode >= modeCount {
		mode = Refuse
	}
	name := string(c.Site.WorkerName(i))
	left := make(chan error, 1)
	go func() {
		err := c.Site.SetReady(i, false)
		time.Sleep(lasting)
		c.Site.Leave(i)
		c.Workers[i].SetMode(Pass)
		c.Workers[i].Reset()
		time.Sleep(heartbeatInterval)
		c.Site.Restart(i)
		if ready := c.Site.SetReady(i, true); err == nil {
			err = ready
		}
		c.endLeave(i)
		left <- err
	}()
	time.AfterFunc(cutAfter, func() { c.cutLink(i, mode, cutFor) })
	return injectedFault{fmt.Sprint(name, " leaves after ", lasting, ", its link in mode ", mode), []string{name}, func() error { return <-left }}
}

// cutLink puts the link of a worker in a mode for a time. This is a disturbance of its own,
// since orders that were held back arrive when it ends.
func (c *Cell) cutLink(i int, m Mode, length time.Duration) {
	defer c.disturb([]string{string(c.Site.WorkerName(i))})()
	c.Workers[i].SetMode(m)
	time.Sleep(length)
	c.Workers[i].SetMode(Pass)
}

// beginLeave marks a worker as leaving. It returns false if it is leaving already: a worker
// that joins again and is ended by the former departure would leave unannounced.
func (c *Cell) beginLeave(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving[i] {
		return false
	}
	c.leaving[i] = true
	return true
}

func (c *Cell) endLeave(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaving, i)
}

// losePower kills a node of which the workers do not learn that its connections have ended.
func losePower(r *rand.Rand, c *Cell) injectedFault {
	n := c.pickNode(r)
	for _, w := range c.Workers {
		w.HideEnds(true)
	}
	n.Signal(syscall.SIGKILL)
	n.Wait()
	time.Sleep(closeDelay)
	for _, w := range c.Workers {
		w.HideEnds(false)
	}
	return injectedFault{"power loss of " + n.Name, []string{n.Name}, n.restart}
}

// closeDelay is how long after the end of a process its connections are closed at the
// latest.
const closeDelay = 50 * time.Millisecond

// faults are the kinds of fault that the regression seeds were found with, each equally
// likely.
var faults = []fault{
	signalFault("kill", syscall.SIGKILL, (*Node).restart),
	signalFault("stop", syscall.SIGTERM, (*Node).restart),
	signalFault("freeze", syscall.SIGSTOP, resume),
	restartWorker,
	func(_ *rand.Rand, c *Cell) injectedFault {
		for _, n := range c.Nodes {
			n.Signal(syscall.SIGKILL)
		}
		return injectedFault{"kill all nodes", c.nodeNames(), func() error {
			for _, n := range c.Nodes {
				if err := n.restart(); err != nil {
					return err
				}
			}
			return nil
		}}
	},
	func(r *rand.Rand, c *Cell) injectedFault {
		n, m := c.pickNode(r), Mode(1+r.IntN(4))
		n.Store.SetMode(m)
		return injectedFault{fmt.Sprint("store of ", n.Name, " in mode ", m), []string{n.Name}, func() error { n.Store.SetMode(Pass); return nil }}
	},
	func(r *rand.Rand, c *Cell) injectedFault {
		m := Mode(1 + r.IntN(4))
		for _, n := range c.Nodes {
			n.Store.SetMode(m)
		}
		return injectedFault{fmt.Sprint("store in mode ", m), []string{storeTarget}, func() error {
			for _, n := range c.Nodes {
				n.Store.SetMode(Pass)
			}
			return nil
		}}
	},
	func(_ *rand.Rand, c *Cell) injectedFault {
		for _, n := range c.Nodes {
			n.Store.Reset()
		}
		for _, w := range c.Workers {
			w.Reset()
		}
		return injectedFault{"reset all connections", append(c.nodeNames(), c.workerNames()...), noHeal}
	},
	func(r *rand.Rand, c *Cell) injectedFault {
		i, m := r.IntN(len(c.Workers)), Mode(1+r.IntN(4))
		c.Workers[i].SetMode(m)
		name := string(c.Site.WorkerName(i))
		return injectedFault{fmt.Sprint(name, " in mode ", m), []string{name}, func() error { c.Workers[i].SetMode(Pass); return nil }}
	},
	func(r *rand.Rand, c *Cell) injectedFault {
		c.Site.Keys.SetFault(oneInThree(r.Uint64(), keyspace.Fault(1+r.IntN(4))))
		return injectedFault{"store loses calls", []string{storeTarget}, func() error {
			c.Site.Keys.SetFault(nil)
			c.Site.Keys.ApplyLate()
			c.Site.Keys.Compact()
			return nil
		}}
	},
	disturbOrders,
}

// allFaults are all kinds of fault, each equally likely.
var allFaults = append(slices.Clip(faults), drainWorker, losePower,
	func(r *rand.Rand, c *Cell) injectedFault {
		i := r.IntN(len(c.Workers))
		c.Workers[i].SetMode(Refuse)
		name := string(c.Site.WorkerName(i))
		return injectedFault{name + " refuses connections", []string{name}, func() error { c.Workers[i].SetMode(Pass); return nil }}
	},
)

// oneInThree returns a function that chooses the fault of each call: f for one
// call in three at random, none for the others. The faults of the store and of
// the workers have the same numbers, so that one can be converted to the other.
func oneInThree(seed uint64, f keyspace.Fault) func(string) keyspace.Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	return func(string) keyspace.Fault {
		if r.IntN(3) > 0 {
			return keyspace.FaultNone
		}
		return f
	}
}

// InjectFaults injects faults, which may overlap, for the given length and then
// waits until all have been healed, or until one could not be healed. One fault in
// three is of the same kind as the one before and is followed by a shorter pause,
// so that a fault also hits the next owner of the shard. log is called when a
// fault begins and when it is over.
func (c *Cell) InjectFaults(r *rand.Rand, length time.Duration, log func(string)) error {
	return c.inject(alone(allFaults), r, length, log)
}

// InjectEarlierFaults is InjectFaults without the kinds of fault that were added after the
// regression seeds had been found.
func (c *Cell) InjectEarlierFaults(r *rand.Rand, length time.Duration, log func(string)) error {
	return c.inject(alone(faults), r, length, log)
}

// alone returns the kinds of fault that consist of one fault each.
func alone(faults []fault) [][]fault {
	kinds := make([][]fault, len(faults))
	for i, f := range faults {
		kinds[i] = []fault{f}
	}
	return kinds
}

// inject injects faults of random kinds. The faults of one kind begin together.
func (c *Cell) inject(kinds [][]fault, r *rand.Rand, length time.Duration, log func(string)) error {
	var active sync.WaitGroup
	failed := make(chan error, 1)
	kind := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		repeats := r.IntN(3) == 0
		if !repeats {
			kind = r.IntN(len(kinds))
		}
		for _, begin := range kinds[kind] {
			f := begin(r, c)
			log(f.description)
			endDisturbance := c.disturb(f.targets)
			duration := randomBetween(r, 200*time.Millisecond, 2700*time.Millisecond)
			active.Go(func() {
				time.Sleep(duration)
				err := f.heal()
				endDisturbance()
				log("over: " + f.description)
				if err != nil {
					failed <- err
				}
			})
		}
		pause := randomBetween(r, 200*time.Millisecond, 1700*time.Millisecond)
		if repeats {
			pause /= 5
		}
		time.Sleep(pause)
	}
	go func() {
		active.Wait()
		close(failed)
	}()
	return <-failed
}
