package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilthread/io/deploy"
	"trefoilthread/io/fleet"
)

// used is what a number of calls used of the process.
type used struct {
	cpu    time.Duration
	allocs uint64
	bytes  uint64
	wall   time.Duration
}

// calls makes n calls of next from a number of goroutines and returns what
// each call used.
func calls(b *testing.B, n, parallel int, next func(i int) *http.Request) used {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallel}}
	defer client.CloseIdleConnections()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	cpu, start := cpuTime(), time.Now()
	var wg sync.WaitGroup
	var done, bad atomic.Int64
	for range parallel {
		wg.Go(func() {
			for i := done.Add(1); i <= int64(n); i = done.Add(1) {
				resp, err := client.Do(next(int(i)))
				if err != nil {
					bad.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	u := used{cpu: cpuTime() - cpu, wall: time.Since(start)}
	runtime.ReadMemStats(&m1)
	u.allocs, u.bytes = m1.Mallocs-m0.Mallocs, m1.TotalAlloc-m0.TotalAlloc
	if k := bad.Load(); k > 0 {
		b.Errorf("%d of %d calls failed", k, n)
	}
	return u
}

func newGet(b *testing.B, url string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Error(err)
	}
	return req
}

// BenchmarkCapacityCall gives the processor time that an entry and a gate add
// to a call together: that of calls through the daemons less that of calls to
// the same targets directly, client and target included in both. Of 8 targets
// one is beside the entry, so 7 in 8 calls use a connection between daemons.
func BenchmarkCapacityCall(b *testing.B) {
	for _, parallel := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			f := startFleet(b, fleet.Options{Deployment: deploy.Small(8, time.Microsecond), LeaseTime: 10 * time.Second})
			nodes := f.Nodes()
			through := func(i int) *http.Request {
				return newGet(b, "http://"+nodes[i%len(nodes)].Daemon().CallerAddr()+"/s/echo/read")
			}
			direct := func(i int) *http.Request {
				return newGet(b, "http://"+nodes[i%len(nodes)].Target().Addr()+"/read")
			}
			calls(b, 2000, parallel, through)
			calls(b, 2000, parallel, direct)
			const n = 20000
			for b.Loop() {
				d, t := calls(b, n, parallel, direct), calls(b, n, parallel, through)
				b.ReportMetric(float64(t.cpu.Microseconds())/n, "through-cpu-us")
				b.ReportMetric(float64(d.cpu.Microseconds())/n, "direct-cpu-us")
				b.ReportMetric(float64((t.cpu-d.cpu).Microseconds())/n, "added-cpu-us")
				b.ReportMetric(float64(t.allocs-d.allocs)/n, "added-allocs")
				b.ReportMetric(float64(t.bytes-d.bytes)/n, "added-alloc-B")
				b.ReportMetric(n/t.wall.Seconds(), "calls/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityKeyed gives the store calls of calls with an idempotency
// key, against the number of callers at a time. All keys are new.
func BenchmarkCapacityKeyed(b *testing.B) {
	for _, parallel := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			r := newStoreRelays(b)
			f := startFleet(b, fleet.Options{
				Deployment: deploy.Small(8, time.Microsecond), LeaseTime: 10 * time.Second, StoreVia: r.via,
			})
			nodes, round := f.Nodes(), 0
			keyed := func(i int) *http.Request {
				req, err := http.NewRequest(http.MethodPost, "http://"+nodes[i%len(nodes)].Daemon().CallerAddr()+"/s/echo/write", nil)
				if err != nil {
					b.Error(err)
				}
				req.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", round, i))
				return req
			}
			calls(b, 256, parallel, keyed) // partitions are taken by their owners
			n := 200 + 40*parallel
			for b.Loop() {
				round++
				from := r.take(f)
				u := calls(b, n, parallel, keyed)
				to := r.take(f)
				calls := float64(n)
				_, _, ms, _ := traffic(f, from, to)
				b.ReportMetric(calls/u.wall.Seconds(), "calls/s")
				b.ReportMetric(float64(to.txns-from.txns)/calls, "txns/call")
				b.ReportMetric(float64(to.txns-from.txns)/u.wall.Seconds(), "txns/s")
				b.ReportMetric(ms*float64(len(nodes))/calls, "store-B/call")
				b.ReportMetric(float64(u.cpu.Microseconds())/calls, "cpu-us/call")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
