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

// maxFault is the longest that one fault stays in.
const maxFault = 8 * time.Second

// Fault is a fault that a trial can put in.
type Fault struct {
	Name string
	// atLeast is how long the fault stays in, at the least, to be felt.
	atLeast time.Duration
	// begin puts the fault in, tells what it hits and returns how to end it.
	begin func(s stage) (target string, end func())
}

// stage is what a fault has to act on.
type stage struct {
	trial  *Trial
	random *rand.Rand
	// ctx ends with the fault's span.
	ctx context.Context
	// length is how long the fault stays in.
	length time.Duration
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

// putIn puts in all faults, one after the other with some overlap.
func (t *Trial) putIn(ctx context.Context) {
	n := len(t.config.Faults)
	if n == 0 {
		return
	}
	slot := t.config.Duration / time.Duration(n+1)
	var all sync.WaitGroup
	for i, f := range t.config.Faults {
		all.Go(func() {
			if pause.For(ctx, slot*time.Duration(2*i+1)/2) {
				t.runFault(ctx, f, i, max(f.atLeast, min(slot*3/2, maxFault)))
			}
		})
	}
	all.Wait()
}

// runFault puts in one fault for its span of time.
func (t *Trial) runFault(ctx context.Context, f Fault, i int, length time.Duration) {
	limited, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	s := stage{trial: t, random: rand.New(rand.NewPCG(t.config.Seed, uint64(100+i))), ctx: limited, length: length}
	from := time.Since(t.began)
	target, end := f.begin(s)
	t.mutex.Lock()
	at := len(t.faults)
	t.faults = append(t.faults, report.Fault{
		Name: f.Name, Target: target,
		FromMillis: milliseconds(from), UntilMillis: milliseconds(from + length),
	})
	t.mutex.Unlock()
	<-limited.Done()
	end()
	t.mutex.Lock()
	t.faults[at].UntilMillis = milliseconds(time.Since(t.began))
	t.mutex.Unlock()
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// faultsInForce names the faults of the moment.
func (t *Trial) faultsInForce() string {
	now := milliseconds(time.Since(t.began))
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
