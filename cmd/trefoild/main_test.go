package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "trefoild")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "trefoild")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		panic(err)
	}
	os.Exit(code)
}

// Guards against accepting settings with an error, and against reporting the errors of a
// file one at a time; against an explanation that sends or prints a key, or lacks a reason.
func TestSessions(t *testing.T) {
	setAddresses := explainEnv(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+env.Getenv("PATH"))
			setAddresses(env)
			return nil
		},
	})
}

// Guards against a settings page whose keys differ from those of the program: it listed
// one that had been removed.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	reference, err := exec.Command(binary, "reference").Output()
	is.NoErr(err)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings-agent.md"))
	is.NoErr(err)
	is.True(strings.HasSuffix(string(page), string(reference))) // rewrite it with: trefoild reference
}

// Guards against a daemon that SIGHUP ends while it starts. The test blocks the start in
// the read of the settings, from a pipe, and sends the signal meanwhile.
func TestSignalDuringStart(t *testing.T) {
	is := is.New(t)
	pipe := filepath.Join(t.TempDir(), "settings.ini")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(binary, "run", pipe)
	is.NoErr(cmd.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the daemon has opened the pipe
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = w.WriteString("[node]\nname = no address\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the signal is delivered at the latest when the daemon runs again
	is.NoErr(w.Close())
	var exit *exec.ExitError
	is.True(errors.As(cmd.Wait(), &exit))
	is.True(exit.Exited()) // because of invalid settings, not by the signal
}
