package main

import (
	"bufio"
	"os/exec"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"standin": main})
}

// Guards against flags and output that scripts rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// Guards against a target that dies of SIGTERM instead of finishing.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	cmd := exec.Command("standin", "target", "--service", "care", "--grace", "1ms")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	is.True(len(line) > len("listening 127.0.0.1:"))
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(cmd.Wait())
}
