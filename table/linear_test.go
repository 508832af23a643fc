package table_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/table"
)

// bursts are the values of the two rows under test.
type bursts [2]int

// operation is a read of both rows, or a change of one row from the value that was
// read before.
type operation struct {
	read     bool
	row      int
	from, to int
}

// outcome is the result of an operation: the values that were read, or whether the
// write failed with a conflict or has an unknown outcome.
type outcome struct {
	values            bursts
	conflict, unknown bool
}

// rowModel is a sequential model of one register for each row, which is written by
// compare-and-swap. A write has to take effect if the row has the value from, and has to
// fail with a conflict otherwise. If its outcome is unknown, it need not take effect.
func rowModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{bursts{}} },
		Step: func(state, input, output any) []any {
			s, op, o := state.(bursts), input.(operation), output.(outcome)
			if op.read {
				if s == o.values {
					return []any{s}
				}
				return nil
			}
			written := s
			written[op.row] = op.to
			matches := s[op.row] == op.from
			switch {
			case o.unknown && matches:
				return []any{s, written}
			case o.unknown || matches != o.conflict:
				if matches {
					return []any{written}
				}
				return []any{s}
			default:
				return nil
			}
		},
		Equal: func(a, b any) bool { return a.(bursts) == b.(bursts) },
	}
	return model.ToModel()
}

// history collects the operations of all writers.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

// add records an operation that ends now. An operation whose outcome is unknown may
// still take effect, so it is recorded as one that never ends.
func (h *history) add(writer int, call time.Time, op operation, o outcome) {
	returned := time.Now().UnixNano()
	if o.unknown {
		returned = 1 << 62
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: writer, Input: op, Output: o, Call: call.UnixNano(), Return: returned,
	})
}

// readAndWrite reads the tables, repeatedly until the store answers, and changes one
// row after a delay, as an operator does.
func (h *history) readAndWrite(t *testing.T, store *kv.Store, writer, row, to int, delay time.Duration) {
	call := time.Now()
	record, _, err := table.Load(t.Context(), store)
	for err != nil {
		time.Sleep(50 * time.Millisecond)
		call = time.Now()
		record, _, err = table.Load(t.Context(), store)
	}
	read := outcome{}
	for i := range read.values {
		read.values[i] = record.Tables.Routes()[i].Limits.Burst
	}
	h.add(writer, call, operation{read: true}, read)
	time.Sleep(delay)
	call = time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err = table.NewApplier(store).Apply(ctx, table.Edit{
		Tables: withBurst(t, record.Tables, row, to), Base: record.Tables.Revision(), Writer: "w",
	})
	var conflict *table.ConflictError
	var unconfirmed *table.UnconfirmedError
	o := outcome{conflict: errors.As(err, &conflict), unknown: errors.As(err, &unconfirmed)}
	qt.Check(t, err == nil || o.conflict || o.unknown, qt.IsTrue, qt.Commentf("%v", err))
	h.add(writer, call, operation{row: row, from: read.values[row], to: to}, o)
}

// injectFaults changes the store's faults at random times until ctx is done.
func injectFaults(ctx context.Context, store *kv.Store, random *rand.Rand) {
	kinds := []kv.Faults{{}, {LoseReplies: 0.5}, {EffectDelay: 90 * time.Millisecond}, {Down: true}, {Delay: 40 * time.Millisecond}}
	for ctx.Err() == nil {
		store.SetFaults(kinds[random.IntN(len(kinds))])
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	store.SetFaults(kv.Faults{})
}

func TestTableWritesAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			store, h := kv.New(kv.WithSeed(seed)), &history{}
			base := withBurst(t, withBurst(t, sampleTables(t), 0, 0), 1, 0)
			_, err := apply(t, store, sampleTables(t), base, "first")
			qt.Assert(t, err, qt.IsNil)
			ctx, cancel := context.WithCancel(t.Context())
			go injectFaults(ctx, store, rand.New(rand.NewPCG(seed, 0)))
			var writers sync.WaitGroup
			for w := range 4 {
				random := rand.New(rand.NewPCG(seed, uint64(w+1)))
				writers.Go(func() {
					for i := range 6 {
						h.readAndWrite(t, store, w, random.IntN(2), 1+w*100+i, time.Duration(random.IntN(200))*time.Millisecond)
					}
				})
			}
			writers.Wait()
			cancel()
			synctest.Wait()
			time.Sleep(time.Second)
			qt.Assert(t, porcupine.CheckOperations(rowModel(), h.operations), qt.IsTrue, qt.Commentf("seed %d", seed))
			qt.Assert(t, len(h.operations), qt.Equals, 48)
		})
	}
}
