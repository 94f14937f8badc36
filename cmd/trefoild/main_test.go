package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

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

// Guards against settings that are taken over with a fault, or whose faults are
// reported one at a time.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
	})
}

// Guards against a page of settings that lists other keys than the program has:
// it named one that was gone.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	reference, err := exec.Command(binary, "reference").Output()
	is.NoErr(err)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings-agent.md"))
	is.NoErr(err)
	is.True(strings.HasSuffix(string(page), string(reference))) // rewrite it with: trefoild reference
}
