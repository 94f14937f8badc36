package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against commands on the operators' page that do not work: a session
// has to run each, with the same arguments.
func TestSessionsRunThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	files, err := filepath.Glob("testdata/*.txtar")
	is.NoErr(err)
	var sessions strings.Builder
	for _, f := range files {
		data, err := os.ReadFile(f)
		is.NoErr(err)
		sessions.Write(data)
	}
	commands := regexp.MustCompile(`(?m)^ {4,}(trefoilthread .*)$`).FindAllStringSubmatch(string(page), -1)
	is.True(len(commands) > 10)
	for _, c := range commands {
		run := regexp.MustCompile(`(?m)^(! )?(exec|await .*) ` + regexp.QuoteMeta(c[1]) + `( &\w+&)?$`)
		if !run.MatchString(sessions.String()) {
			t.Errorf("no session runs: %s", c[1])
		}
	}
}
