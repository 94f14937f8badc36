package fleet_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/member"
	"trefoilthread/core/types"
	"trefoilthread/io/certs"
	"trefoilthread/io/etcd"
	"trefoilthread/io/logs"
	"trefoilthread/io/peer"
	"trefoilthread/io/stand"
	"trefoilthread/io/store"
	"trefoilthread/io/wire"
)

// process is a daemon in a process of its own, with a target in this one.
type process struct {
	b    *testing.B
	cmd  *exec.Cmd
	peer string
	auth *certs.Authority
}

// startProcess builds and starts a daemon with the settings' defaults, and a
// target for it. The ports are fixed, because the daemon does not print them.
func startProcess(b *testing.B, storeAddr string) *process {
	b.Helper()
	must := func(err error) {
		b.Helper()
		if err != nil {
			b.Fatal(err)
		}
	}
	dir := b.TempDir()
	bin := filepath.Join(dir, "trefoilthread")
	out, err := exec.Command("go", "build", "-o", bin, "trefoilthread/cmd/trefoilthread").CombinedOutput()
	if err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	p := &process{b: b, peer: "127.0.0.1:27081"}
	p.auth, err = certs.NewAuthority(time.Now())
	must(err)
	cert, key, err := p.auth.Issue("alone", time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	must(err)
	for name, data := range map[string][]byte{"cert": cert, "key": key, "ca": p.auth.CertPEM(), "conf": fmt.Appendf(nil, `[daemon]
id = dc-a/echo-1
dataCentre = dc-a
[listen]
callers = 127.0.0.1:27080
peers = %s
local = 127.0.0.1:27082
[tls]
certFile = %[2]s/cert
keyFile = %[2]s/key
caFile = %[2]s/ca
[store]
endpoints = http://%[3]s
`, p.peer, dir, storeAddr)} {
		must(os.WriteFile(filepath.Join(dir, name), data, 0o600))
	}
	p.cmd = exec.Command(bin, "daemon", filepath.Join(dir, "conf"))
	must(p.cmd.Start())
	b.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	})
	t := stand.NewTarget(stand.TargetOptions{
		Name: "dc-a/echo-1", Service: "echo", Slots: 12, Connections: 250,
		DaemonAdmin: "127.0.0.1:27082", DaemonEntry: "127.0.0.1:27080",
	})
	must(t.Start("127.0.0.1:0"))
	b.Cleanup(t.Close)
	return p
}

// resident returns the process's resident memory in MB.
func (p *process) resident() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				p.b.Fatal(err)
			}
			return kb / 1024
		}
	}
	p.b.Fatal("no VmRSS")
	return 0
}

// cpu returns the processor time used, in steps of 10 ms.
func (p *process) cpu() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.b.Fatal(err)
	}
	f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
	var ticks int64
	for _, s := range f[12:14] {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			p.b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// idle returns the process's share of a core, in percent.
func (p *process) idle() float64 {
	from, at := p.cpu(), time.Now()
	time.Sleep(20 * time.Second)
	return 100 * (p.cpu() - from).Seconds() / time.Since(at).Seconds()
}

// BenchmarkCapacityProcess gives resident memory and idle processor time of one
// daemon as a process of its own that leads its data centre: with one target,
// with 5,201 targets and 810 services, and with 500 connections from other
// daemons.
func BenchmarkCapacityProcess(b *testing.B) {
	for b.Loop() {
		st := stand.NewStore(stand.StoreOptions{})
		if err := st.Start("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(st.Close)
		p := startProcess(b, st.Addr())
		time.Sleep(15 * time.Second) // until it leads
		b.ReportMetric(p.idle(), "cpu-%-1-target")
		b.ReportMetric(p.resident(), "rss-MB-1-target")
		cl, err := etcd.New([]string{"http://" + st.Addr()}, etcd.Options{})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(cl.Close)
		fill(b, cl.Store())
		time.Sleep(2 * time.Second)
		b.ReportMetric(p.idle(), "cpu-%-full-lists")
		b.ReportMetric(p.resident(), "rss-MB-full-lists")
		b.ReportMetric(p.connect(500), "centres-known")
		b.ReportMetric(p.resident(), "rss-MB-500-connections")
		b.ReportMetric(0, "ns/op")
	}
}

// fill writes ten data centres of 520 targets and a document of 810 services.
func fill(b *testing.B, st store.Store) {
	b.Helper()
	ctx := context.Background()
	for i := range 10 {
		dc := fmt.Sprintf("far-%d", i)
		t, err := member.NewTable(time.Now(), member.TableSpec{DataCentre: types.DataCentre(dc), Epoch: 1})
		if err != nil {
			b.Fatal(err)
		}
		for k := range 520 {
			join(t, i, k)
		}
		value, err := t.Summary().Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := st.CompareAndSwap(ctx, member.Key(dc), 0, value, 0); err != nil {
			b.Fatal(err)
		}
	}
	var doc config.Document
	for i := range 810 {
		c := config.NewChange(config.ChangeSpec{
			Action: config.Create, Service: service(fmt.Sprintf("service-%03d", i), i+1),
			RequestID: fmt.Sprintf("6b7f0f60-8f5c-4a53-9d58-%012d", i), Operator: "bench",
		})
		var err error
		if doc, _, err = config.Apply(doc, c, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
	value, err := config.Encode(doc)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := st.CompareAndSwap(ctx, config.DocumentKey, 0, value, 0); err != nil {
		b.Fatal(err)
	}
}

// connect opens n connections to the daemon, each from a socket of its own,
// and returns how many data centres the daemon knows.
func (p *process) connect(n int) float64 {
	id, err := p.auth.Identity("other")
	if err != nil {
		p.b.Fatal(err)
	}
	var rep wire.StatusReply
	for range n {
		node, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Identity: id, Log: logs.Discard()})
		if err != nil {
			p.b.Fatal(err)
		}
		p.b.Cleanup(func() { _ = node.Close() })
		if err := node.Control(context.Background(), p.peer, wire.KindStatus, nil, &rep); err != nil {
			p.b.Fatal(err)
		}
	}
	return float64(len(rep.DataCentres))
}
