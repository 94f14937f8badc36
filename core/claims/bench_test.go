package claims_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"trefoilthread/core/claims"
	"trefoilthread/core/types"
)

// stepAndServe passes ev to p, executes all resulting store calls at once, and
// returns the Run actions.
func stepAndServe(p *claims.Partition, now time.Time, s *fakeStore, ev claims.Event) []claims.Action {
	var run []claims.Action
	queue := p.Step(now, ev)
	for len(queue) > 0 {
		a := queue[0]
		queue = queue[1:]
		if a.Kind() == claims.Run {
			run = append(run, a)
			continue
		}
		queue = append(queue, p.Step(now, s.execute(now, a))...)
		s.tails = nil
	}
	return run
}

func hashOf(i int) (h claims.Hash) {
	binary.BigEndian.PutUint64(h[:], uint64(i)*0x9e3779b97f4a7c15)
	return h
}

// claimAndFinish claims and finishes n keys without responses, in batches of 64.
func claimAndFinish(p *claims.Partition, s *fakeStore, from, n int) {
	now := time.Unix(1000, 0).Add(time.Duration(from) * time.Millisecond)
	for i := from; i < from+n; i += 64 {
		for k := i; k < min(i+64, from+n); k++ {
			p.Claim(now, hashOf(k))
		}
		for _, a := range stepAndServe(p, now, s, claims.Tick()) {
			p.FinishUnknown(a.Hash(), a.Ticket())
		}
		now = now.Add(60 * time.Millisecond)
	}
}

// newActivePartition returns an active owner of the partition in s.
func newActivePartition(s *fakeStore, maxKeys int) *claims.Partition {
	p := claims.NewPartition(time.Unix(1000, 0), claims.Spec{Holder: "x", MaxKeys: maxKeys})
	stepAndServe(p, time.Unix(1000, 0), s, claims.Acquire())
	return p
}

// BenchmarkMemory reports the heap memory per key of a partition's table without
// responses, and the time of a takeover with that many keys.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFakeStore()
			p := newActivePartition(s, n)
			claimAndFinish(p, s, 0, n)
			used, size := heapBytes(), p.Len()
			runtime.KeepAlive(p)
			p = nil
			used -= heapBytes()
			b.ReportAllocs()
			for b.Loop() {
				if q := newActivePartition(s, n); q.Len() != size {
					b.Fatalf("%d keys taken over, want %d", q.Len(), size)
				}
			}
			b.ReportMetric(used/float64(size), "B/key")
		})
	}
}

// BenchmarkClaim measures one claim with its share of the batch, the seal and the
// encoding; the store is a map in memory.
func BenchmarkClaim(b *testing.B) {
	s := newFakeStore()
	p := newActivePartition(s, 1<<30)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%64 == 0 {
			claimAndFinish(p, s, n, 64)
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCapacityOwner measures finding the owners of 16 partitions, which each
// daemon does at the first keyed call after a change of membership.
func BenchmarkCapacityOwner(b *testing.B) {
	for _, n := range []int{520, 2600, 5200} {
		ids := make([]types.TargetID, n)
		for i := range ids {
			ids[i] = types.TargetID(fmt.Sprintf("dc-%d/service-%03d-%d", i%10, i%810, i))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for p := range 16 {
					if _, ok := claims.Owner(p, ids); !ok {
						b.Fatal("no owner")
					}
				}
			}
		})
	}
}
