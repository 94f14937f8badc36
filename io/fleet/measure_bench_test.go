package fleet_test

import (
	"context"
	"io"
	"net"
	"reflect"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/quic-go/quic-go"

	"trefoilthread/core/types"
	"trefoilthread/io/fleet"
)

// packetHeaders are the IPv4 and UDP headers, which quic-go does not count.
const packetHeaders = 28

// field returns an unexported field. The connections of a daemon have no
// exported access, and the product needs none.
func field(v reflect.Value, name string) reflect.Value {
	f := v.Elem().FieldByName(name)
	return reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem()
}

// udpBytes returns the bytes on the wire that each daemon has sent and
// received over its present QUIC connections, IPv4 and UDP headers included.
func udpBytes(f *fleet.Fleet) map[string]float64 {
	out := map[string]float64{}
	for _, n := range f.Nodes() {
		node := field(reflect.ValueOf(n.Daemon()), "node")
		mu := field(node, "mu").Addr().Interface().(*sync.Mutex)
		mu.Lock()
		for it := field(node, "links").MapRange(); it.Next(); {
			l := it.Value()
			lmu := field(l, "mu").Addr().Interface().(*sync.Mutex)
			lmu.Lock()
			if c := field(l, "conn").Interface().(*quic.Conn); c != nil {
				s := c.ConnectionStats()
				sum := float64(s.BytesSent + s.BytesReceived + packetHeaders*(s.PacketsSent+s.PacketsReceived))
				out[n.Daemon().PeerAddr()] += sum
				out[it.Key().String()] += sum
			}
			lmu.Unlock()
		}
		mu.Unlock()
	}
	return out
}

// storeRelays count the payload bytes between each daemon and the store.
type storeRelays struct {
	b     *testing.B
	mu    sync.Mutex
	bytes map[types.TargetID]*atomic.Int64
}

func newStoreRelays(b *testing.B) *storeRelays {
	return &storeRelays{b: b, bytes: map[types.TargetID]*atomic.Int64{}}
}

func (r *storeRelays) via(id types.TargetID, addr string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.b.Cleanup(func() { _ = ln.Close() })
	n := &atomic.Int64{}
	r.mu.Lock()
	r.bytes[id] = n
	r.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", addr)
			if err != nil {
				_ = c.Close()
				continue
			}
			go pump(s, c, n)
			go pump(c, s, n)
		}
	}()
	return ln.Addr().String(), nil
}

func pump(to, from net.Conn, n *atomic.Int64) {
	_, _ = io.Copy(counted{to, n}, from)
	_ = to.Close()
	_ = from.Close()
}

type counted struct {
	w io.Writer
	n *atomic.Int64
}

func (c counted) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.w.Write(p)
}

// snapshot is what a fleet has used so far.
type snapshot struct {
	at    time.Time
	cpu   time.Duration
	udp   map[string]float64
	store map[types.TargetID]float64
	reads int
	txns  int
	lease int
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *storeRelays) take(f *fleet.Fleet) snapshot {
	s := snapshot{at: time.Now(), cpu: cpuTime(), udp: udpBytes(f), store: map[types.TargetID]float64{}}
	r.mu.Lock()
	for id, n := range r.bytes {
		s.store[id] = float64(n.Load())
	}
	r.mu.Unlock()
	c := f.Store().Counts()
	s.reads, s.txns, s.lease = c.Reads(), c.Txns, c.Grants+c.KeepAlives+c.Revokes
	return s
}

// traffic returns the mean and the largest traffic of a daemon between two
// snapshots, in bytes: with other daemons, and with the store.
func traffic(f *fleet.Fleet, from, to snapshot) (meanPeer, maxPeer, meanStore, maxStore float64) {
	n := float64(len(f.Nodes()))
	for _, node := range f.Nodes() {
		a := node.Daemon().PeerAddr()
		p, s := to.udp[a]-from.udp[a], to.store[node.ID()]-from.store[node.ID()]
		meanPeer, maxPeer = meanPeer+p/n, max(maxPeer, p)
		meanStore, maxStore = meanStore+s/n, max(maxStore, s)
	}
	return meanPeer, maxPeer, meanStore, maxStore
}

// heapInUse returns the bytes of live objects and of goroutine stacks.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// startFleet starts a deployment and waits until all daemons know all targets.
func startFleet(b *testing.B, o fleet.Options) *fleet.Fleet {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return f
}

// waitAll waits until ok holds for each daemon.
func waitAll(b *testing.B, f *fleet.Fleet, ok func(n *fleet.Node) bool) {
	b.Helper()
	end := time.Now().Add(30 * time.Second)
	for _, n := range f.Nodes() {
		for !ok(n) {
			if time.Now().After(end) {
				b.Fatalf("%s: %s", n.ID(), n.Daemon().Describe())
			}
			time.Sleep(time.Millisecond)
		}
	}
}
