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
	// crashDowntime is how long a crashed instance stays down while others take
	// over from it.
	crashDowntime = 6 * time.Second
	// effectPeriod is the time after the end of a fault in which its effects are
	// still attributed to it.
	effectPeriod = 2 * time.Second
	// pauseDuration is how long an instance is paused. It is longer than any
	// lease between instances.
	pauseDuration = 12 * time.Second
	// lossDuration is how long replies are lost, lossShare the share of them that
	// is lost.
	lossDuration = 5 * time.Second
	lossShare    = 0.5
)

// step is one fault of a drill.
type step struct {
	name string
	// inject injects the fault, ends it, and returns the name of its target.
	inject func(ctx context.Context, c *cell) (target string, err error)
}

// steps returns all faults in the order in which they are injected.
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

// wait waits for a duration. It returns an error if ctx is done before.
func wait(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return errors.Wrap(ctx.Err(), "drill")
	}
	return nil
}

// replace starts an instance at the site of another one and waits until it is
// ready.
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
	_ = i.process.Wait() // a killed process always returns an error
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

// stop stops an instance as planned. Any exit code but 0 is an error.
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
			return "store", errors.Wrap(err, "pause the store")
		}
		waitErr := wait(ctx, outage)
		if err := c.store.Signal(syscall.SIGCONT); err != nil {
			return "store", errors.Wrap(err, "resume the store")
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
