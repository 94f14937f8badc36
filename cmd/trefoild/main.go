// Command trefoild is the daemon beside a target on the users' platform.
//
// # Usage
//
//	trefoild run [FILE]      run the daemon; FILE or $TREFOILTHREAD_NODE_FILE is its settings
//	trefoild check FILE      check a settings file
//	trefoild reference       print the settings as Markdown
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"trefoilthread/io/prefs"
)

// cli lists the subcommands.
type cli struct {
	Run       runCmd       `cmd:"" help:"Run the daemon beside a target."`
	Check     checkCmd     `cmd:"" help:"Check a settings file."`
	Reference referenceCmd `cmd:"" help:"Print the settings as Markdown."`
}

type checkCmd struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run checks a settings file and prints every fault.
func (c *checkCmd) Run() error {
	_, err := prefs.Load(c.File)
	return err
}

type referenceCmd struct{}

// Run prints the reference of the settings.
func (c *referenceCmd) Run() error {
	_, err := fmt.Println(prefs.Reference())
	return err
}

func main() { os.Exit(run(os.Args[1:])) }

// run is main without the exit, so that golden sessions can call it.
func run(args []string) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("trefoild"),
		kong.Description("The daemon of trefoilthread on the users' platform."), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return 2
	}
	if err := ctx.Run(); err != nil {
		parser.Errorf("%s", err)
		return 1
	}
	return 0
}
