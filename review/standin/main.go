package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// scenarios maps names to what plays them.
var scenarios = map[string]func(w *world) verdict{
	"bounds": playBounds,
	"bytes":  playBytes,
	"poison": playPoison,
}

// verdict is the result of a scenario.
type verdict struct {
	broken bool
	text   string
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		rec.note("couldn't run: %v", err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(exitFailed)
	}()
	v := scenarios[os.Args[1]](w)
	rec.note("verdict: broken=%v: %s", v.broken, v.text)
	fmt.Println(v.text)
	switch {
	case w.failure() != nil:
		rec.note("couldn't run: %v", w.failure())
		fmt.Fprintln(os.Stderr, w.failure())
		return exitFailed
	case v.broken:
		return exitBroken
	}
	return exitHeld
}
