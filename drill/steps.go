package drill

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/standin/kv"
)

const (
	// takeOver is how long a crashed instance stays away.
	takeOver = 6 * time.Second
	// calm is the time after each fault in which its effects still count.
	calm = 2 * time.Second
	// longPause is longer than any lease between instances.
	longPause = 12 * time.Second
	// lostFor is how long replies are lost, lostShare the share of them.
	lostFor   = 5 * time.Second
	lostShare = 0.5
)

// step is one fault of a drill.
type step struct {
	name string
	// act puts the fault in, ends it, and returns whom it hit.
	act func(ctx context.Context, c *cell) (target string, err error)
}

// steps returns all faults in order.
func steps(storeOutage time.Duration) []step {
	return []step{
		{"none", noFault},
		{"kill -9, restarted after " + takeOver.String(), crash},
		{"planned stop, replacement ready first", makeBeforeBreak},
		{"planned stop, then replaced", stopFirst},
		{"SIGSTOP for " + longPause.String(), stopAndContinue},
		{"store stopped for " + storeOutage.String(), storeStopped(storeOutage)},
		{"half of the store's replies lost", repliesLost},
	}
}

func noFault(ctx context.Context, _ *cell) (string, error) {
	return "", wait(ctx, calm)
}

// wait waits, or tells that ctx ended.
func wait(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return errors.Wrap(ctx.Err(), "drill")
	}
	return nil
}

// replace starts an instance where another was and waits until it serves.
func (c *cell) replace(ctx context.Context, at site) error {
	i, err := c.launch(at)
	if err != nil {
		return err
	}
	_, err = i.awaitReady(ctx)
	return err
}

func crash(ctx context.Context, c *cell) (string, error) {
	i := c.draw()
	if err := i.signal(syscall.SIGKILL, killed); err != nil {
		return i.name, err
	}
	_ = i.process.Wait() // a killed process ends with an error
	if err := wait(ctx, takeOver); err != nil {
		return i.name, err
	}
	return i.name, c.replace(ctx, i.site)
}

func makeBeforeBreak(ctx context.Context, c *cell) (string, error) {
	i := c.draw()
	other := i.site
	var err error
	if other.address, err = freeAddress(); err != nil {
		return i.name, err
	}
	if err := c.replace(ctx, other); err != nil {
		return i.name, err
	}
	return i.name, stop(i)
}

func stopFirst(ctx context.Context, c *cell) (string, error) {
	i := c.draw()
	if err := stop(i); err != nil {
		return i.name, err
	}
	return i.name, c.replace(ctx, i.site)
}

// stop stops an instance as planned; any exit code but 0 is an error.
func stop(i *instance) error {
	if err := i.signal(syscall.SIGTERM, stopping); err != nil {
		return err
	}
	return errors.Wrapf(i.process.Wait(), "planned stop of %s", i.name)
}

func stopAndContinue(ctx context.Context, c *cell) (string, error) {
	i := c.draw()
	if err := i.signal(syscall.SIGSTOP, paused); err != nil {
		return i.name, err
	}
	waited := wait(ctx, longPause)
	if err := i.signal(syscall.SIGCONT, up); err != nil {
		return i.name, err
	}
	return i.name, waited
}

func storeStopped(outage time.Duration) func(context.Context, *cell) (string, error) {
	return func(ctx context.Context, c *cell) (string, error) {
		if err := c.store.Signal(syscall.SIGSTOP); err != nil {
			return "store", errors.Wrap(err, "store")
		}
		waited := wait(ctx, outage)
		if err := c.store.Signal(syscall.SIGCONT); err != nil {
			return "store", errors.Wrap(err, "store")
		}
		return "store", waited
	}
}

func repliesLost(ctx context.Context, c *cell) (string, error) {
	if err := c.knobs.SetFaults(ctx, kv.Faults{LoseReplies: lostShare}); err != nil {
		return "store", err
	}
	if err := wait(ctx, lostFor); err != nil {
		return "store", err
	}
	return "store", c.knobs.SetFaults(ctx, kv.Faults{})
}
