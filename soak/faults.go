package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/keyspace"
	"lovagestand.example/lovagestand/standin/runner"
)

// fault is one kind of trouble; it returns what it did and a function that ends
// it.
type fault func(r *rand.Rand, c *Cell) (what string, heal func() error)

func nothing() error { return nil }

// faults are all kinds, each as likely as the others.
var faults = []fault{
	func(r *rand.Rand, c *Cell) (string, func() error) {
		i := r.IntN(len(c.Nodes))
		c.Nodes[i].Signal(syscall.SIGKILL)
		return fmt.Sprint("kill node ", i), func() error { return c.Nodes[i].restart() }
	},
	func(_ *rand.Rand, c *Cell) (string, func() error) {
		for _, n := range c.Nodes {
			n.Signal(syscall.SIGKILL)
		}
		return "kill all nodes", func() error {
			for _, n := range c.Nodes {
				if err := n.restart(); err != nil {
					return err
				}
			}
			return nil
		}
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		i := r.IntN(len(c.Nodes))
		c.Nodes[i].Signal(syscall.SIGTERM)
		return fmt.Sprint("stop node ", i), func() error { return c.Nodes[i].restart() }
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		i := r.IntN(len(c.Nodes))
		c.Nodes[i].Signal(syscall.SIGSTOP)
		return fmt.Sprint("freeze node ", i), func() error { c.Nodes[i].Signal(syscall.SIGCONT); return nil }
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		i, m := r.IntN(len(c.Nodes)), Mode(1+r.IntN(4))
		c.Nodes[i].Store.Set(m)
		return fmt.Sprint("store of node ", i, " in mode ", m), func() error { c.Nodes[i].Store.Set(Pass); return nil }
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		m := Mode(1 + r.IntN(4))
		for _, n := range c.Nodes {
			n.Store.Set(m)
		}
		return fmt.Sprint("store in mode ", m), func() error {
			for _, n := range c.Nodes {
				n.Store.Set(Pass)
			}
			return nil
		}
	},
	func(_ *rand.Rand, c *Cell) (string, func() error) {
		for _, n := range c.Nodes {
			n.Store.Reset()
		}
		for _, w := range c.Workers {
			w.Reset()
		}
		return "reset all connections", nothing
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		i, m := r.IntN(len(c.Workers)), Mode(1+r.IntN(4))
		c.Workers[i].Set(m)
		return fmt.Sprint("worker ", i, " in mode ", m), func() error { c.Workers[i].Set(Pass); return nil }
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		i := r.IntN(len(c.Workers))
		return fmt.Sprint("worker ", i, " is born again"), func() error { return c.Site.Rebear(i) }
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		c.Site.Keys.SetFault(sometimes(r.Uint64(), keyspace.Fault(1+r.IntN(4))))
		return "store loses calls", func() error {
			c.Site.Keys.SetFault(nil)
			c.Site.Keys.Settle()
			c.Site.Keys.Compact()
			return nil
		}
	},
	func(r *rand.Rand, c *Cell) (string, func() error) {
		lose := sometimes(r.Uint64(), keyspace.Fault(1+r.IntN(4)))
		c.Site.Fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault { return runner.Fault(lose(order)) })
		return "workers lose orders", func() error {
			c.Site.Fleet.SetFault(nil)
			c.Site.Fleet.Settle()
			return nil
		}
	},
}

// sometimes returns a fate that one call in three meets. The faults of the
// store and of the workers have the same numbers.
func sometimes(seed uint64, f keyspace.Fault) func(string) keyspace.Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	return func(string) keyspace.Fault {
		if r.IntN(3) > 0 {
			return keyspace.FaultNone
		}
		return f
	}
}

// Trouble injects faults in series that overlap until the time is over, then
// ends them all. Log is told each.
func (c *Cell) Trouble(r *rand.Rand, length time.Duration, log func(string)) error {
	type open struct {
		heal  func() error
		until time.Time
	}
	var faulty []open
	end := time.Now().Add(length)
	for time.Now().Before(end) || len(faulty) > 0 {
		if time.Now().Before(end) {
			what, heal := faults[r.IntN(len(faults))](r, c)
			log(what)
			faulty = append(faulty, open{heal: heal, until: time.Now().Add(time.Duration(200+r.IntN(2500)) * time.Millisecond)})
		}
		time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
		kept := faulty[:0]
		for _, f := range faulty {
			if time.Now().Before(f.until) {
				kept = append(kept, f)
				continue
			}
			if err := f.heal(); err != nil {
				return err
			}
		}
		faulty = kept
	}
	return nil
}
