package store_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilthread/io/etcd"
	"trefoilthread/io/stand"
	"trefoilthread/io/store"
)

// access is one operation of a history. Values are unique, so a write names
// the value that it expects to replace instead of its revision.
type access struct {
	key, from, to string
	swap          bool
}

// result of an access: the value that was read, or whether the write conflicted.
type result struct {
	value             string
	conflict, unknown bool
}

// register is a register with compare-and-swap for each key. A write of
// unknown outcome is pending: it can take effect at any later time or, placed
// after everything else, in effect never.
var register = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range h {
			k := op.Input.(access).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out, now := input.(access), output.(result), state.(string)
		switch {
		case !in.swap:
			return out.value == now, now
		case out.unknown && now != in.from:
			return true, now
		case out.conflict:
			return now != in.from, now
		}
		return now == in.from, in.to
	},
}

// Guards against stale reads, lost updates and wrong outcomes: histories of
// concurrent clients over real connections, with lost answers and broken
// connections, must be linearizable, also when reads share calls.
func TestLinearizable(t *testing.T) {
	for name, wrap := range map[string]func(store.Store) store.Store{
		"adapter": func(st store.Store) store.Store { return st },
		"shared reads": func(st store.Store) store.Store {
			return store.Budgeted(st, store.NewBudget(store.BudgetOptions{
				WritesPerSecond: 1e6, ReadsPerSecond: 1e6, WriteBurst: 1e6, ReadBurst: 1e6, OutageAfter: 1e6,
			}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := startStore(t, stand.StoreOptions{ResponseTime: time.Millisecond})
			// The clients of one daemon share its budget and reads; another
			// daemon has its own.
			daemons := []store.Store{
				wrap(client(t, etcd.Options{}, srv)), wrap(client(t, etcd.Options{}, srv)),
			}
			var mu sync.Mutex
			var history []porcupine.Operation
			unknown, won := 0, 0
			var wg sync.WaitGroup
			begin := time.Now()
			for c := range 8 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(7, uint64(c)))
					st := daemons[c%2]
					known := map[string]store.Item{}
					for i := range 60 {
						in := access{key: fmt.Sprintf("k%d", rng.IntN(2)), swap: rng.IntN(2) == 0}
						if rng.IntN(20) == 0 {
							srv.LoseAnswers(1)
						}
						item := known[in.key]
						in.from, in.to = string(item.Value), fmt.Sprintf("%d.%d", c, i)
						op := porcupine.Operation{ClientId: c, Input: in, Call: int64(time.Since(begin))}
						var out result
						var err error
						if in.swap {
							item.Revision, err = st.CompareAndSwap(t.Context(), in.key, item.Revision, []byte(in.to), 0)
							item.Value = []byte(in.to)
							out.conflict, out.unknown = errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown)
						} else {
							item, err = st.Get(t.Context(), in.key)
							out.value = string(item.Value)
						}
						op.Output, op.Return = out, int64(time.Since(begin))
						switch {
						case err == nil:
							known[in.key] = item
						case out.unknown:
							op.Return = math.MaxInt64
						case errors.Is(err, store.ErrUnavailable):
							continue // proved not to be sent, or a read without an answer
						case !out.conflict && !errors.Is(err, store.ErrNotFound):
							t.Errorf("%+v: %v", in, err)
						}
						mu.Lock()
						if out.unknown {
							unknown++
							// A client has one operation at a time; the pending
							// one goes to a client of its own.
							op.ClientId = 100 + unknown
						} else if in.swap && err == nil {
							won++
						}
						history = append(history, op)
						mu.Unlock()
					}
				})
			}
			for range 2 {
				time.Sleep(20 * time.Millisecond)
				is.NoErr(srv.SetDown(true))
				is.NoErr(srv.SetDown(false))
			}
			wg.Wait()
			t.Logf("%d operations, %d writes accepted, %d of unknown outcome", len(history), won, unknown)
			is.True(won > 0 && unknown > 0)
			is.Equal(porcupine.CheckOperationsTimeout(register, history, 3*time.Second), porcupine.Ok)
		})
	}
}
