package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// awaitBound only ends a session whose state never comes; no session
	// depends on how long a state takes.
	awaitBound = 30 * time.Second
	awaitPause = 50 * time.Millisecond
	maxDaemons = 4
)

// TestMain gives the test a process group of its own. A process that is paused
// gets SIGHUP when the parent of its group ends, for example the shell that has
// started the tests in the background.
func TestMain(m *testing.M) {
	if err := syscall.Setpgid(0, 0); err != nil {
		fmt.Fprintln(os.Stderr, "no process group for the test:", err)
		os.Exit(1)
	}
	testscript.Main(m, map[string]func(){"trefoilthread": main, "caller": caller})
}

// Guards against changed output, flags and exit statuses of whole sessions
// with the product's processes. UPDATE_SESSIONS=1 rewrites the
// golden output.
func TestSessions(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "trefoilthread/cmd/standin").CombinedOutput(); err != nil {
		t.Fatalf("build of the stand-ins: %v\n%s", err, out)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_SESSIONS") != "",
		Setup:               func(e *testscript.Env) error { return setupSession(e, bin) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await": await, "fixed": fixed, "settings": settings, "terminate": terminate, "pause": pause,
		},
	})
}

// setupSession gives a session free addresses: STORE, and for each daemon N
// the addresses CN (callers), PN (peers), LN (local) and TN (its target). A loopback IP of its
// own keeps the ports of a session from those of all other processes between
// the moment they are found free and their use.
func setupSession(e *testscript.Env, bin string) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))
	names := []string{"STORE"}
	for i := 1; i <= maxDaemons; i++ {
		names = append(names, fmt.Sprintf("C%d", i), fmt.Sprintf("P%d", i), fmt.Sprintf("L%d", i), fmt.Sprintf("T%d", i))
	}
	for _, n := range names {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		e.Setenv(n, ln.Addr().String())
		defer func() { _ = ln.Close() }()
	}
	e.Setenv("NAMES", strings.Join(names, " "))
	e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
	return nil
}

// await REGEXP COMMAND... repeats a command until its output matches.
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: await REGEXP COMMAND...")
	}
	want := regexp.MustCompile(`(?m)` + args[0])
	end := time.Now().Add(awaitBound)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if want.MatchString(out) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: no match of %q, last: %v\n%s", strings.Join(args[1:], " "), args[0], err, out)
		}
		time.Sleep(awaitPause)
	}
}

var variable = strings.NewReplacer("SHA", `[0-9a-f]{64}`, "UUID", `[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`,
	"TIME", `\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`, "ADDR", `127\.\d+\.\d+\.\d+:\d+`)

// fixed SOURCE FILE writes a copy with fixed words for addresses, times and ids.
func fixed(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fixed SOURCE FILE")
	}
	text := ts.ReadFile(args[0])
	for _, n := range strings.Fields(ts.Getenv("NAMES")) {
		text = strings.ReplaceAll(text, ts.Getenv(n), n)
	}
	text = strings.ReplaceAll(text, ts.Getenv("WORK"), "WORK")
	for _, word := range []string{"SHA", "UUID", "TIME", "ADDR"} {
		text = regexp.MustCompile(variable.Replace(word)).ReplaceAllString(text, word)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o666))
}

// settings N ID DATACENTRE [LINE...] writes the settings dN.ini of a daemon.
// The lines of all files operators* become its section [operators].
func settings(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: settings N ID DATACENTRE [LINE...]")
	}
	n := args[0]
	var operators strings.Builder
	files, err := filepath.Glob(ts.MkAbs("operators*"))
	ts.Check(err)
	for _, f := range files {
		operators.WriteString(ts.ReadFile(f))
	}
	text := fmt.Sprintf(`[daemon]
id = %s
dataCentre = %s
stopBound = 5s
logLevel = warn
[listen]
callers = %s
peers = %s
local = %s
[tls]
certFile = d%s.crt
keyFile = d%s.key
caFile = ca.crt
[store]
endpoints = http://%s
leaseTime = 2s
writesPerSecond = 100
readsPerSecond = 100
%s
[operators]
%s`, args[1], args[2], ts.Getenv("C"+n), ts.Getenv("P"+n), ts.Getenv("L"+n), n, n, ts.Getenv("STORE"),
		strings.Join(args[3:], "\n"), operators.String())
	ts.Check(os.WriteFile(ts.MkAbs("d"+n+".ini"), []byte(text), 0o666))
}

// terminate WORD sends SIGTERM to the background process that has the word
// among its arguments; testscript's own kill has no SIGTERM.
func terminate(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: terminate WORD")
	}
	signalTo(ts, syscall.SIGTERM, args[0])
}

// pause WORD stops the process that has the word among its arguments, as a VM
// that gets no processor time; "pause -end WORD" lets it go on.
func pause(ts *testscript.TestScript, neg bool, args []string) {
	switch {
	case !neg && len(args) == 1:
		signalTo(ts, syscall.SIGSTOP, args[0])
	case !neg && len(args) == 2 && args[0] == "-end":
		signalTo(ts, syscall.SIGCONT, args[1])
	default:
		ts.Fatalf("usage: pause [-end] WORD")
	}
}

// signalTo signals the background process that has a word among its arguments.
func signalTo(ts *testscript.TestScript, sig syscall.Signal, word string) {
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, word) {
			ts.Check(cmd.Process.Signal(sig))
			return
		}
	}
	ts.Fatalf("no background process with argument %s", word)
}
