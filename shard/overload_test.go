package shard

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDecisionsUnderOverload guards against a change of the decisions of passes by a faster
// implementation. The digests were recorded on the code before passes were made cheaper
// (9971a59); a change that is meant to change decisions records them anew, on arm64. The
// compiler fuses floating-point operations there, so that decisions between nearly equal
// costs may differ on other architectures; the test compares on arm64 only.
func TestDecisionsUnderOverload(t *testing.T) {
	const recordedOn = "arm64"
	if runtime.GOARCH != recordedOn {
		t.Skipf("digests were recorded on %s; decisions between nearly equal costs may differ on %s", recordedOn, runtime.GOARCH)
	}
	for _, test := range []struct {
		workers, teams int
		digest         string
	}{
		// Recorded anew when passes that start nothing began to look beyond the first steps.
		{48, 20, "starts=268 calls=343 stops=0 kept=159 digest=b961546c2a1829c5"},
		{350, 0, "starts=1317 calls=360 stops=0 kept=0 digest=be1dd2df5611811e"},
		{350, 20, "starts=1283 calls=360 stops=0 kept=68 digest=a9e07425a058af45"},
		{350, 380, "starts=1161 calls=354 stops=0 kept=369 digest=b6e7c01c396bb105"},
	} {
		t.Run(fmt.Sprintf("workers=%d/teams=%d", test.workers, test.teams), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qt.Check(t, decisionsUnderOverload(test.workers, test.teams), qt.Equals, test.digest)
			})
		})
	}
}

// decisionsUnderOverload returns a digest of what 12 passes decide. Between them, advice
// arrives and runs end.
func decisionsUnderOverload(workers, teams int) string {
	s := overloadedShard(workers, teams)
	random := rand.New(rand.NewPCG(1, 2))
	hash := fnv.New64a()
	starts, calls, stops, kept := 0, 0, 0, 0
	for range 12 {
		begun := time.Now()
		s.plan()
		s.mu.Lock()
		var lines []string
		var ending []*placement
		for _, e := range s.live {
			for ref, st := range e.steps {
				if len(st.pendingRequests) > 0 {
					calls++
				}
				for w := range st.pendingRequests {
					lines = append(lines, fmt.Sprint("advice ", e.id, ref, w.info.Name, st.heldUntil.Sub(begun)))
				}
			}
			for _, p := range e.active {
				if p.placedAt.Equal(begun) {
					starts++
					lines = append(lines, fmt.Sprint("start ", p.name, p.worker.info.Name))
				} else {
					ending = append(ending, p)
				}
				if p.preemptedAt.Equal(begun) {
					stops++
					lines = append(lines, fmt.Sprint("stop ", p.name))
				}
			}
		}
		for _, k := range s.kept {
			kept++
			lines = append(lines, fmt.Sprint("kept ", k.entry.id, k.ref, k.worker.info.Name))
		}
		slices.Sort(lines)
		fmt.Fprintln(hash, lines)
		slices.SortFunc(ending, func(a, b *placement) int { return strings.Compare(a.name, b.name) })
		for _, p := range ending {
			if p.stopRequested || random.IntN(8) == 0 {
				s.releaseRoom(p)
				p.entry.progress.Finish(p.task, p.run)
				p.entry.workStale = true
				if p.entry.final() {
					delete(s.live, p.entry.id)
				}
			}
		}
		answerAdvice(s, begun)
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	s.cancel()
	close(s.deps.Fleet.(*gate).opened)
	return fmt.Sprintf("starts=%d calls=%d stops=%d kept=%d digest=%016x", starts, calls, stops, kept, hash.Sum64())
}

// answerAdvice answers the pending advice calls: every third pair of a step and a worker is
// allowed.
func answerAdvice(s *Shard, now time.Time) {
	clear(s.adviceSlots)
	for _, e := range s.live {
		for _, st := range e.steps {
			for w := range st.pendingRequests {
				st.advised = true
				st.decided[w] = true
				hash := fnv.New32a()
				fmt.Fprint(hash, e.id, w.info.Name)
				if hash.Sum32()%3 == 0 {
					st.setTicket(w, ticket{value: "t", until: now.Add(time.Second)})
				}
			}
			clear(st.pendingRequests)
		}
	}
}
