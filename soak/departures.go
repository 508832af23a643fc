package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/keyspace"
	"lovagestand.example/lovagestand/standin/runner"
)

// missedHeartbeats is how many heartbeats a worker misses before its entry expires.
const missedHeartbeats = 3

// departure is how a worker leaves, and how its link is cut meanwhile. The cut may begin
// before the notice, and end after the worker has exited.
type departure struct {
	noticeAfter, lasting time.Duration
	mode                 Mode
	cutAfter, cutFor     time.Duration
	// silentFor is how long the worker sends no heartbeats after the notice, so that its
	// entry expires. It is 0 for most workers.
	silentFor time.Duration
	// crashes reports whether the worker exits without removing its entry.
	crashes bool
}

// String returns the departure as it is logged. Its times are those since its beginning.
func (d departure) String() string {
	text := fmt.Sprintf("notice %.1f s, on for %.1f s, mode %d from %.1f to %.1f s",
		d.noticeAfter.Seconds(), (d.silentFor + d.lasting).Seconds(), d.mode, d.cutAfter.Seconds(), (d.cutAfter + d.cutFor).Seconds())
	if d.silentFor > 0 {
		text += ", entry expires"
	}
	if d.crashes {
		text += ", crashes"
	}
	return text
}

// newDeparture returns a random departure. A worker continues for at most linger after the
// time for which it must.
func newDeparture(r *rand.Rand, linger time.Duration) departure {
	d := departure{
		noticeAfter: randomBetween(r, 0, time.Second), lasting: drainTime + randomBetween(r, 0, linger), mode: Mode(r.IntN(int(ResetReplies) + 1)),
		cutAfter: randomBetween(r, 0, 1500*time.Millisecond), cutFor: randomBetween(r, 200*time.Millisecond, drainTime+linger), crashes: r.IntN(6) == 0,
	}
	if r.IntN(4) == 0 {
		d.silentFor = randomSilence(r, linger)
	}
	if r.IntN(4) == 0 {
		// Long enough for a lease to end meanwhile.
		longer := randomBetween(r, linger, 2*linger)
		d.lasting, d.cutFor = d.lasting+longer, d.cutFor+longer
	}
	return d
}

// randomSilence returns a time in which an entry expires.
func randomSilence(r *rand.Rand, linger time.Duration) time.Duration {
	return missedHeartbeats*heartbeatInterval + randomBetween(r, 0, linger/2)
}

// carryOut lets a worker leave and a new incarnation join.
func (d departure) carryOut(c *Cell, i int) error {
	cutOver := make(chan struct{})
	go func() {
		defer close(cutOver)
		time.Sleep(d.cutAfter)
		c.cutLink(i, d.mode, d.cutFor)
	}()
	time.Sleep(d.noticeAfter)
	if err := c.Site.SetReady(i, false); err != nil {
		return err
	}
	if err := c.missHeartbeats(i, d.silentFor); err != nil {
		return err
	}
	time.Sleep(d.lasting)
	if d.crashes {
		c.Site.Crash(i)
	} else {
		c.Site.Leave(i)
	}
	<-cutOver
	// Requests on the way to the former process must not reach the new one.
	c.Workers[i].Reset()
	time.Sleep(heartbeatInterval)
	c.Site.Restart(i)
	return c.Site.SetReady(i, true)
}

// missHeartbeats lets a worker send no heartbeats for a time, at the end of which it
// registers again. Its entry expires meanwhile.
func (c *Cell) missHeartbeats(i int, length time.Duration) error {
	if length == 0 {
		return nil
	}
	c.setSilent(i, true)
	defer c.setSilent(i, false)
	time.Sleep(missedHeartbeats * heartbeatInterval)
	c.Site.Expire(i)
	time.Sleep(length - missedHeartbeats*heartbeatInterval)
	return c.Site.Register(i)
}

func (c *Cell) setSilent(i int, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[i] = silent
}

func (c *Cell) isSilent(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[i]
}

const (
	// maxTogether is the most workers that leave at once.
	maxTogether = 6
	// leavingDivisor bounds the workers that are leaving to a fraction of all.
	leavingDivisor = 2
)

func (c *Cell) leavingWorkers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.leaving)
}

// workerChange is what happens to one worker in a fault.
type workerChange struct {
	description string
	carryOut    func(c *Cell, i int) error
}

// workersFault returns a fault that changes up to a number of workers that are not about
// to leave. It lasts until the changes of all of them are over.
func workersFault(description string, most int, change func(r *rand.Rand, linger time.Duration) workerChange) fault {
	return func(r *rand.Rand, c *Cell) injectedFault {
		var names []string
		text := description
		count := 1 + r.IntN(most)
		done := make(chan error, count)
		for _, i := range r.Perm(len(c.Workers)) {
			if len(names) == count || c.leavingWorkers() >= len(c.Workers)/leavingDivisor || !c.beginLeave(i) {
				continue
			}
			change, name := change(r, c.linger), string(c.Site.WorkerName(i))
			names = append(names, name)
			text += fmt.Sprintf(" %s %s;", name, change.description)
			go func() {
				defer c.endLeave(i)
				done <- change.carryOut(c, i)
			}()
		}
		return injectedFault{text, names, func() error {
			var first error
			for range names {
				if err := <-done; first == nil {
					first = err
				}
			}
			return first
		}}
	}
}

var leave = workersFault("leave:", maxTogether, func(r *rand.Rand, linger time.Duration) workerChange {
	d := newDeparture(r, linger)
	return workerChange{d.String(), d.carryOut}
})

// leaveSilently is leave with workers whose entries expire while they go on.
var leaveSilently = workersFault("leave:", maxTogether, func(r *rand.Rand, linger time.Duration) workerChange {
	d := newDeparture(r, linger)
	d.silentFor = randomSilence(r, linger)
	return workerChange{d.String(), d.carryOut}
})

// flap lets workers be about to leave and ready in turn.
var flap = workersFault("flap:", 3, func(r *rand.Rand, _ time.Duration) workerChange {
	var pauses []time.Duration
	for range 2 * (1 + r.IntN(4)) {
		pauses = append(pauses, randomBetween(r, 100*time.Millisecond, 1500*time.Millisecond))
	}
	return workerChange{fmt.Sprint(pauses), func(c *Cell, i int) error {
		for n, pause := range pauses {
			if err := c.Site.SetReady(i, n%2 == 1); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}}
})

// expire lets the entries of workers expire that go on, and are back later.
var expire = workersFault("entries expire:", 3, func(r *rand.Rand, linger time.Duration) workerChange {
	length := randomSilence(r, linger)
	return workerChange{fmt.Sprint("for ", length), func(c *Cell, i int) error { return c.missHeartbeats(i, length) }}
})

// cutWorkers cuts the links of every third worker in one mode.
func cutWorkers(r *rand.Rand, c *Cell) injectedFault {
	mode, first := Mode(1+r.IntN(int(ResetReplies))), r.IntN(3)
	var cut []int
	var names []string
	for i := range c.Workers {
		if i%3 == first {
			cut, names = append(cut, i), append(names, string(c.Site.WorkerName(i)))
		}
	}
	set := func(m Mode) {
		for _, i := range cut {
			c.Workers[i].SetMode(m)
		}
	}
	set(mode)
	return injectedFault{fmt.Sprint("every third worker in mode ", mode), names, func() error { set(Pass); return nil }}
}

// cutOwner cuts the link of the owner to the store one way.
func cutOwner(r *rand.Rand, c *Cell) injectedFault {
	owner := c.pickOwner(r)
	mode := BlockRequests + Mode(r.IntN(2))
	for _, n := range c.Nodes {
		if n.Name == owner {
			n.Store.SetMode(mode)
			return injectedFault{fmt.Sprint("store of the owner ", owner, " in mode ", mode), []string{owner}, func() error { n.Store.SetMode(Pass); return nil }}
		}
	}
	return injectedFault{"no owner to cut off", nil, noHeal}
}

// cutStore cuts the links of all nodes to the store, or slows them.
func cutStore(r *rand.Rand, c *Cell) injectedFault {
	set := func(m Mode) {
		for _, n := range c.Nodes {
			n.Store.SetMode(m)
		}
	}
	mode := Mode(1 + r.IntN(int(ResetReplies)))
	set(mode)
	return injectedFault{fmt.Sprint("store in mode ", mode), []string{storeTarget}, func() error { set(Pass); return nil }}
}

// disturbOrders makes workers lose or refuse one order in three, or carry it out late.
func disturbOrders(r *rand.Rand, c *Cell) injectedFault {
	seed := r.Uint64()
	f := keyspace.Fault(1 + r.IntN(4))
	lose := oneInThree(seed, f)
	c.Site.Fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault { return runner.Fault(lose(order)) })
	return injectedFault{fmt.Sprint("orders with fault ", f), c.workerNames(), func() error {
		c.Site.Fleet.SetFault(nil)
		c.Site.Fleet.ApplyLate()
		return nil
	}}
}

// later returns a fault that begins later than those before it in a series.
func later(f fault) fault {
	return func(r *rand.Rand, c *Cell) injectedFault {
		time.Sleep(randomBetween(r, 200*time.Millisecond, 1500*time.Millisecond))
		return f(r, c)
	}
}

var kill = signalFault("kill", syscall.SIGKILL, (*Node).restart)

// series are kinds of fault for a cell with many workers: workers leave while another
// fault lasts.
var series = slices.Concat(alone(allFaults), [][]fault{
	{leave},
	{leave, leave},
	{leave, flap},
	{leave, cutWorkers},
	{cutWorkers, expire},
	{leave, cutOwner},
	{cutOwner, flap, cutWorkers},
	{leave, cutStore},
	{cutStore, leave, disturbOrders},
	{leave, disturbOrders},
	{leave, kill},
	{leave, cutStore, later(kill)},
	{leave, later(leave), later(kill)},
	{leave, later(cutOwner)},
	{leaveSilently, later(cutStore)},
	{leave, signalFault("freeze", syscall.SIGSTOP, resume)},
	{leave, losePower},
})

// InjectSeries is InjectFaults with faults in series in addition: workers leave, one or
// several at once, while their links, the store or the owner are disturbed. They leave sooner
// in a short run.
func (c *Cell) InjectSeries(r *rand.Rand, length time.Duration, log func(string)) error {
	c.linger = min(maxLinger, length/2)
	return c.inject(series, r, length, log)
}
