// Command rig2 plays the scripted cases of the second review: it starts the
// daemon of the deploy file as separate processes on loopback, with stand-ins of
// the platform's store, of targets and of callers around them.
//
// # Usage
//
//	rig2 CASE DIR
//
// CASE is the name of a case, DIR the folder for record.txt. The working directory
// is the root of the repository, after the build of the deploy file. With the
// environment variable TROUBLE=0 the disruption is left out. The exit code is 0 if the rule
// held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario plays a case in a world and reports whether the rule was broken.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"crash": playCrash,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that args name and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE DIR")
		return notRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	broken, err := scenarios[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.rec.note("case not run: %v", err)
		return notRun
	case broken:
		w.rec.note("verdict: rule broken")
		return ruleBroken
	}
	w.rec.note("verdict: rule held")
	return ruleHeld
}
