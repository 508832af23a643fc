package pool_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260601", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// smallInt draws a number from 0 to most; small ones are more likely.
func smallInt(t *rapid.T, most int, label string) int {
	return rapid.IntRange(0, most).Draw(t, label)
}

func randomSize(t *rapid.T, most int) lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU:     int64(smallInt(t, most, "cpu")) * 500,
		MemoryMiB:    int64(smallInt(t, most, "memory")) * 512,
		Accelerators: int64(max(smallInt(t, most+4, "accelerators")-most, 0)) / 2,
	}
}

func randomWorker(t *rapid.T) lovagestand.Worker {
	n := smallInt(t, 5, "worker")
	return lovagestand.Worker{
		Name:          lovagestand.WorkerName(fmt.Sprintf("w%d", n)),
		FailureDomain: lovagestand.FailureDomain(fmt.Sprintf("d%d", n%2)),
		Rack:          lovagestand.RackName(fmt.Sprintf("r%d", n%3)),
		Capacity:      randomSize(t, 8).Add(lovagestand.Resources{MilliCPU: 2000, MemoryMiB: 2048}),
		Slots:         smallInt(t, 6, "slots"),
		Leaving:       smallInt(t, 6, "leaving") == 6,
	}
}

func randomTask(t *rapid.T, n int, now time.Time) lovagestand.Task {
	class := rapid.SampledFrom(lovagestand.Classes()).Draw(t, "class")
	task := lovagestand.Task{
		ID: lovagestand.TaskID(fmt.Sprintf("t%d", n)), Key: lovagestand.RequestKey(fmt.Sprintf("k%d", n%7)),
		Pool: "frames", Class: class, Resources: randomSize(t, 5), Submitted: now,
		Team:        lovagestand.TeamName(fmt.Sprintf("team%d", smallInt(t, 3, "team"))),
		Route:       lovagestand.RouteName(fmt.Sprintf("route%d", smallInt(t, 2, "route"))),
		Checkpoints: smallInt(t, 2, "checkpoints") > 0,
		Idempotent:  smallInt(t, 2, "idempotent") > 0,
	}
	if class == lovagestand.ClassGang && smallInt(t, 3, "gang") > 0 {
		task.Gang = fmt.Sprintf("g%d", smallInt(t, 2, "gang"))
		task.GangSize = 2
		task.Resources = lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 512}
		task.Team = "team0"
	}
	if smallInt(t, 4, "limited") == 4 {
		task.StartBy = now.Add(time.Duration(smallInt(t, 20, "limit")) * time.Second)
	}
	return task
}

func randomPolicy(t *rapid.T) lovagestand.PoolPolicy {
	quota := lovagestand.Resources{MilliCPU: 6000, MemoryMiB: 6000, Accelerators: 2}
	return lovagestand.PoolPolicy{
		Pool: "frames", QueueLimit: 4 * smallInt(t, 3, "limit"), HeadroomShare: float64(smallInt(t, 2, "headroom")) / 10,
		Teams: []lovagestand.TeamPolicy{{Team: "team0", Weight: 2}, {Team: "team1", Quota: &quota}},
	}
}

// pick draws one of the keys of a map.
func pick[K ~string, V any](t *rapid.T, m map[K]V) (K, bool) {
	if len(m) == 0 {
		return "", false
	}
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "pick"), true
}

// checker returns assertions that fail a property test. Its testing.TB
// implements only the methods that the assertions call.
func checker(t *rapid.T) *qt.C {
	return qt.New(&propertyTB{property: t})
}

type propertyTB struct {
	testing.TB
	property *rapid.T
}

func (p *propertyTB) Helper()           { p.property.Helper() }
func (p *propertyTB) Fatal(args ...any) { p.property.Fatal(args...) }
func (p *propertyTB) Error(args ...any) { p.property.Error(args...) }
