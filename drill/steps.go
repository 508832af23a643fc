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
	// crashDowntime is how long a crashed instance stays away.
	crashDowntime = 6 * time.Second
	// effectPeriod is the time after each fault in which its effects still count.
	effectPeriod = 2 * time.Second
	// pauseDuration is longer than any lease between instances.
	pauseDuration = 12 * time.Second
	// lossDuration is how long replies are lost, lostShare the share of them.
	lossDuration = 5 * time.Second
	lossShare    = 0.5
)

// step is one fault of a drill.
type step struct {
	name string
	// inject puts the fault in, ends it, and returns whom it hit.
	inject func(ctx context.Context, c *cell) (target string, err error)
}

// steps returns all faults in order.
func steps(storeOutage time.Duration) []step {
	return []step{
		{"none", noFault},
		{"kill -9, restarted after " + crashDowntime.String(), crash},
		{"planned stop, replacement ready first", replaceThenStop},
		{"planned stop, then replaced", stopThenReplace},
		{"SIGSTOP for " + pauseDuration.String(), pauseInstance},
		{"store stopped for " + storeOutage.String(), pauseStore(storeOutage)},
		{"half of the store's replies lost", loseReplies},
	}
}

func noFault(ctx context.Context, _ *cell) (string, error) {
	return "", wait(ctx, effectPeriod)
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
	i := c.pickInstance()
	if err := i.signal(syscall.SIGKILL, killed); err != nil {
		return i.name, err
	}
	_ = i.process.Wait() // a killed process ends with an error
	if err := wait(ctx, crashDowntime); err != nil {
		return i.name, err
	}
	return i.name, c.replace(ctx, i.site)
}

func replaceThenStop(ctx context.Context, c *cell) (string, error) {
	i := c.pickInstance()
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

func stopThenReplace(ctx context.Context, c *cell) (string, error) {
	i := c.pickInstance()
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

func pauseInstance(ctx context.Context, c *cell) (string, error) {
	i := c.pickInstance()
	if err := i.signal(syscall.SIGSTOP, paused); err != nil {
		return i.name, err
	}
	waitErr := wait(ctx, pauseDuration)
	if err := i.signal(syscall.SIGCONT, up); err != nil {
		return i.name, err
	}
	return i.name, waitErr
}

func pauseStore(outage time.Duration) func(context.Context, *cell) (string, error) {
	return func(ctx context.Context, c *cell) (string, error) {
		if err := c.store.Signal(syscall.SIGSTOP); err != nil {
			return "store", errors.Wrap(err, "store")
		}
		waitErr := wait(ctx, outage)
		if err := c.store.Signal(syscall.SIGCONT); err != nil {
			return "store", errors.Wrap(err, "store")
		}
		return "store", waitErr
	}
}

func loseReplies(ctx context.Context, c *cell) (string, error) {
	if err := c.faultControls.SetFaults(ctx, kv.Faults{LoseReplies: lossShare}); err != nil {
		return "store", err
	}
	if err := wait(ctx, lossDuration); err != nil {
		return "store", err
	}
	return "store", c.faultControls.SetFaults(ctx, kv.Faults{})
}
