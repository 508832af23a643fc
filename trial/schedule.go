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

// maxFaultDuration bounds the duration of a fault unless its minDuration is longer.
const maxFaultDuration = 8 * time.Second

// Fault is a fault that a trial can inject.
type Fault struct {
	Name string
	// minDuration is how long the fault must last to have an effect.
	minDuration time.Duration
	// inject starts the fault and returns what it affects and a function that
	// ends it.
	inject func(run injection) (target string, end func())
}

// injection is one run of a fault.
type injection struct {
	trial  *Trial
	random *rand.Rand
	// ctx ends when the fault is to end.
	ctx context.Context
	// duration is how long the fault lasts.
	duration time.Duration
}

// UnknownFaultError is returned for the name of a fault that does not exist.
type UnknownFaultError struct {
	Name string
}

// Error implements error.
func (e *UnknownFaultError) Error() string {
	var names []string
	for _, f := range Faults() {
		names = append(names, f.Name)
	}
	return fmt.Sprintf("no fault %q; use any of %s, or all", e.Name, strings.Join(names, ", "))
}

// ParseFaults parses a comma-separated list of fault names; "all" stands for all
// faults. It returns an [UnknownFaultError] for any other name.
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

// injectFaults injects the configured faults at even intervals; a fault may
// overlap the next ones.
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

// injectFault injects one fault, records it and ends it after its duration.
func (t *Trial) injectFault(ctx context.Context, fault Fault, index int, duration time.Duration) {
	faultCtx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	run := injection{trial: t, random: rand.New(rand.NewPCG(t.config.Seed, uint64(100+index))), ctx: faultCtx, duration: duration}
	from := time.Since(t.startedAt)
	target, end := fault.inject(run)
	t.mutex.Lock()
	position := len(t.faults)
	t.faults = append(t.faults, report.Fault{
		Name: fault.Name, Target: target,
		FromMillis: milliseconds(from), UntilMillis: milliseconds(from + duration),
	})
	t.mutex.Unlock()
	<-faultCtx.Done()
	end()
	t.mutex.Lock()
	t.faults[position].UntilMillis = milliseconds(time.Since(t.startedAt))
	t.mutex.Unlock()
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// activeFaults returns the names of the active faults, joined by "+".
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
