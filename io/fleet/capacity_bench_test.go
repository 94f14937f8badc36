package fleet_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"trefoilthread/core/config"
	"trefoilthread/core/member"
	"trefoilthread/core/types"
	"trefoilthread/io/deploy"
	"trefoilthread/io/etcd"
	"trefoilthread/io/fleet"
	"trefoilthread/io/opspb"
	"trefoilthread/io/store"
)

// The benchmarks named Capacity give the slopes of docs/CAPACITY.md. Run them
// with -benchtime 1x: an iteration is a window of time or a number of changes.

const (
	idleSettle = 5 * time.Second
	idleWindow = 10 * time.Second
	changes    = 60
)

// BenchmarkCapacityIdle gives what daemons without calls use, against their
// number. Processor time and heap include the stand-in targets and the store.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				idle(b, deploy.Small(n, time.Microsecond), 10*time.Second)
			}
		})
	}
}

// BenchmarkCapacityCentres gives the same against the number of data centres:
// 2, 3 and 4 with about 12 daemons.
func BenchmarkCapacityCentres(b *testing.B) {
	tiram, _ := deploy.Named("tiram")
	qatt, _ := deploy.Named("qatt")
	for _, d := range []deploy.Deployment{deploy.Small(12, time.Microsecond), tiram, qatt} {
		b.Run(fmt.Sprintf("centres=%d", len(d.DataCentres())), func(b *testing.B) {
			for b.Loop() {
				idle(b, d, 10*time.Second)
			}
		})
	}
}

// BenchmarkCapacityLease gives the store's reads when the heartbeat interval
// exceeds the lease time: 1.3 and 2.7 s with a lease of 2 s. With the default
// lease of 10 s this happens above 180 members of a data centre.
func BenchmarkCapacityLease(b *testing.B) {
	for _, n := range []int{48, 96} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				idle(b, deploy.Small(n, time.Microsecond), 2*time.Second)
			}
		})
	}
}

func idle(b *testing.B, d deploy.Deployment, leaseTime time.Duration) {
	r := newStoreRelays(b)
	before, routines := heapInUse(), runtime.NumGoroutine()
	f := startFleet(b, fleet.Options{Deployment: d, LeaseTime: leaseTime, StoreVia: r.via})
	time.Sleep(idleSettle)
	n := float64(len(f.Nodes()))
	b.ReportMetric((heapInUse()-before)/n/1e6, "live-MB/daemon")
	b.ReportMetric(float64(runtime.NumGoroutine()-routines)/n, "goroutines/daemon")
	from := r.take(f)
	time.Sleep(idleWindow)
	to := r.take(f)
	secs := to.at.Sub(from.at).Seconds()
	mp, xp, ms, xs := traffic(f, from, to)
	b.ReportMetric(100*(to.cpu-from.cpu).Seconds()/secs/n, "cpu-%/daemon")
	b.ReportMetric(mp/secs, "peer-B/s-mean")
	b.ReportMetric(xp/secs, "peer-B/s-max")
	b.ReportMetric(ms/secs, "store-B/s-mean")
	b.ReportMetric(xs/secs, "store-B/s-max")
	b.ReportMetric(float64(to.reads-from.reads)/secs, "reads/s")
	b.ReportMetric(float64(to.txns-from.txns)/secs, "txns/s")
	b.ReportMetric(float64(to.lease-from.lease)/secs, "leasecalls/s")
	b.ReportMetric(float64(f.Store().Counts().Pending), "watches")
	b.ReportMetric(0, "ns/op")
	f.Close()
}

// report gives what n changes cost, per change and daemon.
func report(b *testing.B, f *fleet.Fleet, from, to snapshot, times []time.Duration) {
	slices.Sort(times)
	n, d := float64(len(times)), float64(len(f.Nodes()))
	at := func(q float64) float64 { return float64(times[int(q*(n-1))].Microseconds()) / 1e3 }
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	mp, xp, ms, xs := traffic(f, from, to)
	b.ReportMetric((to.cpu-from.cpu).Seconds()*1e3/n/d, "cpu-ms/daemon")
	b.ReportMetric(mp/n, "peer-B/daemon")
	b.ReportMetric(xp/n, "peer-B/leader")
	b.ReportMetric(ms/n, "store-B/daemon")
	b.ReportMetric(xs/n, "store-B/leader")
	b.ReportMetric(float64(to.reads-from.reads)/n, "reads/change")
	b.ReportMetric(float64(to.txns-from.txns)/n, "txns/change")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityChange gives the time from an operator's request to the
// answer that the change is in force in all data centres, and its cost. The
// request goes to a daemon that does not lead, as far as the last one is not.
func BenchmarkCapacityChange(b *testing.B) {
	const token = "bench"
	for _, n := range []int{6, 12, 24} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			r := newStoreRelays(b)
			f := startFleet(b, fleet.Options{
				Deployment: deploy.Small(n, time.Microsecond), LeaseTime: 10 * time.Second, StoreVia: r.via,
				Settings: fmt.Sprintf("[operators]\nbench = %x", sha256.Sum256([]byte(token))),
			})
			entry := f.Nodes()[n-1].Daemon()
			for _, m := range f.Nodes() {
				if strings.Contains(m.Daemon().Describe(), "leading false") {
					entry = m.Daemon()
				}
			}
			cl := opspb.NewOpsClient(http.DefaultClient, "http://"+entry.LocalAddr())
			ctx := context.Background()
			get := connect.NewRequest(&opspb.GetServiceRequest{Name: "echo"})
			get.Header().Set("Authorization", "Bearer "+token)
			got, err := cl.GetService(ctx, get)
			if err != nil {
				b.Fatal(err)
			}
			svc, base, late := got.Msg.GetService(), got.Msg.GetService().GetVersion(), 0
			for b.Loop() {
				var times []time.Duration
				from := r.take(f)
				for i := range changes {
					svc.Rules[0].Worth = float64(i + 2)
					req := connect.NewRequest(&opspb.ChangeRequest{Service: svc, BaseVersion: base, RequestId: fmt.Sprintf("c%d-%d", base, i)})
					req.Header().Set("Authorization", "Bearer "+token)
					start := time.Now()
					resp, err := cl.UpdateService(ctx, req)
					if err != nil {
						b.Fatal(err)
					}
					times = append(times, time.Since(start))
					if base = resp.Msg.GetVersion(); resp.Msg.GetState() != "accepted" {
						late++
					}
				}
				to := r.take(f)
				report(b, f, from, to, times)
				b.ReportMetric(float64(late), "notInForce")
				b.ReportMetric(float64(to.lease-from.lease)/changes, "leasecalls/change")
			}
		})
	}
}

// BenchmarkCapacityKnown gives the cost of one target that joins another data
// centre of 520, against the number of targets known in all data centres.
func BenchmarkCapacityKnown(b *testing.B) {
	for _, n := range []int{520, 2600, 5200} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := newStoreRelays(b)
			f, cl := plain(b, r, 6)
			before := heapInUse()
			tables := make([]*member.Table, n/520)
			revision := make([]int64, len(tables))
			own := len(f.Nodes())
			write := func(i int) {
				value, err := tables[i].Summary().Encode()
				if err != nil {
					b.Fatal(err)
				}
				key := member.Key(fmt.Sprintf("far-%d", i))
				if revision[i], err = cl.CompareAndSwap(context.Background(), key, revision[i], value, 0); err != nil {
					b.Fatal(err)
				}
			}
			for i := range tables {
				var err error
				if tables[i], err = member.NewTable(time.Now(), member.TableSpec{
					DataCentre: types.DataCentre(fmt.Sprintf("far-%d", i)), Epoch: 1,
				}); err != nil {
					b.Fatal(err)
				}
				for k := range 520 {
					join(tables[i], i, k)
				}
				write(i)
			}
			knows := func(total int) {
				want := fmt.Sprintf("targets %d,", total)
				waitAll(b, f, func(n *fleet.Node) bool { return strings.Contains(n.Daemon().Describe(), want) })
			}
			knows(own + n)
			time.Sleep(time.Second)
			heap := (heapInUse() - before) / float64(own) / 1e6
			for b.Loop() {
				var times []time.Duration
				from := r.take(f)
				for k := range 20 {
					join(tables[0], 0, 520+k)
					start := time.Now()
					write(0)
					knows(own + n + k + 1)
					times = append(times, time.Since(start))
				}
				report(b, f, from, r.take(f), times)
				b.ReportMetric(heap, "live-MB/daemon")
			}
		})
	}
}

func join(t *member.Table, dc, k int) {
	i := dc*520 + k
	t.Join(time.Now(), member.NewJoin(types.NewTarget(types.TargetSpec{
		ID: types.TargetID(fmt.Sprintf("far-%d/service-%03d-%d", dc, i%810, i)), DataCentre: types.DataCentre(fmt.Sprintf("far-%d", dc)),
		Service: types.ServiceName(fmt.Sprintf("service-%03d", i%810)), Address: fmt.Sprintf("10.20.%d.%d:7443", i/250, i%250),
		Slots: 15, Incarnation: uint64(time.Now().UnixMilli()), Sequence: 1,
	}), uint64(i)<<40+77))
}

// plain starts a small fleet and a client of its store.
func plain(b *testing.B, r *storeRelays, n int) (*fleet.Fleet, store.Store) {
	b.Helper()
	f := startFleet(b, fleet.Options{
		Deployment: deploy.Small(n, time.Microsecond), LeaseTime: 10 * time.Second, StoreVia: r.via,
	})
	cl, err := etcd.New([]string{"http://" + f.Store().Addr()}, etcd.Options{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cl.Close)
	return f, cl.Store()
}

// BenchmarkCapacityServices gives the cost of one configuration change against
// the number of services, with a full history.
func BenchmarkCapacityServices(b *testing.B) {
	for _, n := range []int{10, 100, 810} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			r := newStoreRelays(b)
			f, cl := plain(b, r, 6)
			ctx := context.Background()
			before := heapInUse()
			it, err := cl.Get(ctx, config.DocumentKey)
			if err != nil {
				b.Fatal(err)
			}
			doc, err := config.Decode(it.Value)
			if err != nil {
				b.Fatal(err)
			}
			changed := 0
			change := func(action config.Action, name string, version int64) {
				changed++
				c := config.NewChange(config.ChangeSpec{
					Action: action, Service: service(name, changed), Base: version,
					RequestID: fmt.Sprintf("6b7f0f60-8f5c-4a53-9d58-%012d", changed), Operator: "bench",
				})
				if doc, _, err = config.Apply(doc, c, time.Now()); err != nil {
					b.Fatal(err)
				}
			}
			update := func() {
				name := fmt.Sprintf("service-%03d", changed%n)
				s, _ := doc.Service(types.ServiceName(name))
				change(config.Update, name, s.Version())
			}
			for i := range n {
				change(config.Create, fmt.Sprintf("service-%03d", i), 0)
			}
			for changed < 1100 {
				update()
			}
			rev := it.Revision
			size := 0
			write := func() {
				value, err := config.Encode(doc)
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
				if rev, err = cl.CompareAndSwap(ctx, config.DocumentKey, rev, value, 0); err != nil {
					b.Fatal(err)
				}
				waitAll(b, f, func(n *fleet.Node) bool { return n.Daemon().ConfigVersion() >= doc.Version() })
			}
			write()
			time.Sleep(time.Second)
			heap := (heapInUse() - before) / float64(len(f.Nodes())) / 1e6
			for b.Loop() {
				var times []time.Duration
				from := r.take(f)
				for range 20 {
					update()
					start := time.Now()
					write()
					times = append(times, time.Since(start))
				}
				report(b, f, from, r.take(f), times)
				b.ReportMetric(float64(size), "document-B")
				b.ReportMetric(heap, "live-MB/daemon")
			}
		})
	}
}

func service(name string, worth int) config.Service {
	return config.NewService(config.ServiceSpec{
		Name: types.ServiceName(name), DataCentres: []types.DataCentre{"dc-a", "dc-b"}, Slots: 12, Connections: 250,
		ProbeBudget: 10 * time.Millisecond, RetryShare: 0.1, HedgeShare: 0.05, MaxBodyBytes: 16 << 20,
		Rules: []config.Rule{
			config.NewRule(config.RuleSpec{Method: "GET", Path: "/read*", Urgent: true, Runs: types.Idempotent, Deadline: time.Second, Worth: float64(worth)}),
			config.NewRule(config.RuleSpec{Method: "POST", Path: "/write*", Runs: types.AtMostOnce, Deadline: 2 * time.Second, Worth: 10}),
		},
	})
}
