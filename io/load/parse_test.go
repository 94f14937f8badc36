package load_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"trefoilthread/io/load"
)

// Guards against faults of a scenario file that are not found, not found all
// at once, or reported at the wrong place. In testdata/errors.txtar each file
// x.ini stands before the message x.want.
func TestParseErrors(t *testing.T) {
	is := is.New(t)
	a, err := txtar.ParseFile("testdata/errors.txtar")
	is.NoErr(err)
	for i := 0; i+1 < len(a.Files); i += 2 {
		in, want := a.Files[i], strings.TrimSpace(string(a.Files[i+1].Data))
		_, err := load.Parse(in.Name, in.Data)
		if err == nil {
			t.Errorf("%s: no error", in.Name)
		} else if err.Error() != want {
			t.Errorf("%s: got\n%s\nwant\n%s", in.Name, err, want)
		}
	}
}

// Guards against shipped scenarios that the command refuses, or that run for
// longer than 20 s.
func TestShippedScenarios(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../scenarios/*.ini")
	is.NoErr(err)
	is.True(len(files) >= 20)
	for _, f := range files {
		s, err := load.Load(f)
		is.NoErr(err)
		is.True(s.Duration() < 20*time.Second)
	}
}

// Guards against a changed duration that leaves faults behind the end.
func TestWithDurationScalesFaults(t *testing.T) {
	is := is.New(t)
	s, err := load.Parse("x.ini", []byte(`[scenario]
deployment = small
duration = 8s
policies = weighted, random
[fault a]
kind = straggler
at = 2s
for = 1s
`))
	is.NoErr(err)
	short := s.WithDuration(2 * time.Second)
	is.Equal(short.Turn(), time.Second)
	is.Equal(short.Faults()[0].At(), 500*time.Millisecond)
	is.Equal(short.Faults()[0].Lasts(), 250*time.Millisecond)
	is.Equal(s.Faults()[0].At(), 2*time.Second) // the original is unchanged
}
