package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/report"
)

// maxFaultDuration is the longest that one fault stays in.
const maxFaultDuration = 8 * time.Second

// Fault is a fault that a trial can put in.
type Fault struct {
	Name string
	// minDuration is how long the fault stays in, at the least, to be felt.
	minDuration time.Duration
	// inject puts the fault in, tells what it hits and returns how to end it.
	inject func(s injection) (target string, end func())
}

// injection is what a fault has to act on.
type injection struct {
	trial  *Trial
	random *rand.Rand
	// ctx ends with the fault's span.
	ctx context.Context
	// duration is how long the fault stays in.
	duration time.Duration
}

// UnknownFaultError says that there is no fault of a name.
type UnknownFaultError struct {
	Name string
}

// Error implements error.
func (e *UnknownFaultError) Error() string {
	var names []string
	for _, f := range Faults() {
		names = append(names, f.Name)
	}
	return fmt.Sprintf("no fault %q; there are %s, and all", e.Name, strings.Join(names, ", "))
}

// ParseFaults reads names of faults with commas between, or "all". It fails
// with a [UnknownFaultError].
func ParseFaults(text string) ([]Fault, error) {
	if text == "" {
		return nil, nil
	}
	if text == "all" {
		return Faults(), nil
	}
	var faults []Fault
	for _, name := range strings.Split(text, ",") {
		i := slices.IndexFunc(Faults(), func(f Fault) bool { return f.Name == strings.TrimSpace(name) })
		if i < 0 {
			return nil, &UnknownFaultError{Name: name}
		}
		faults = append(faults, Faults()[i])
	}
	return faults, nil
}

// injectFaults puts in all faults, one after the other with some overlap.
func (t *Trial) injectFaults(ctx context.Context) {
	n := len(t.config.Faults)
	if n == 0 {
		return
	}
	slot := t.config.Duration / time.Duration(n+1)
	var all sync.WaitGroup
	for i, f := range t.config.Faults {
		all.Go(func() {
			if pause.For(ctx, slot*time.Duration(2*i+1)/2) {
				t.injectFault(ctx, f, i, max(f.minDuration, min(slot*3/2, maxFaultDuration)))
			}
		})
	}
	all.Wait()
}

// injectFault puts in one fault for its span of time.
func (t *Trial) injectFault(ctx context.Context, fault Fault, index int, duration time.Duration) {
	limited, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	run := injection{trial: t, random: rand.New(rand.NewPCG(t.config.Seed, uint64(100+index))), ctx: limited, duration: duration}
	from := time.Since(t.startedAt)
	target, end := fault.inject(run)
	t.mutex.Lock()
	position := len(t.faults)
	t.faults = append(t.faults, report.Fault{
		Name: fault.Name, Target: target,
		FromMillis: milliseconds(from), UntilMillis: milliseconds(from + duration),
	})
	t.mutex.Unlock()
	<-limited.Done()
	end()
	t.mutex.Lock()
	t.faults[position].UntilMillis = milliseconds(time.Since(t.startedAt))
	t.mutex.Unlock()
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// activeFaults names the faults of the moment.
func (t *Trial) activeFaults() string {
	now := milliseconds(time.Since(t.startedAt))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var names []string
	for _, f := range t.faults {
		if f.FromMillis <= now && now <= f.UntilMillis {
			names = append(names, f.Name)
		}
	}
	return strings.Join(names, "+")
}
