// Command trefoild is the daemon beside a target on the users' platform.
//
// # Usage
//
//	trefoild run [FILE]      run the daemon; FILE or $TREFOILTHREAD_NODE_FILE is its settings
//	trefoild check FILE      check a settings file
//	trefoild reference       print the settings as Markdown
//	trefoild explain --at IP:PORT --host HOST --path PATH
//	                         ask the daemon with this metrics address where a request would go now
package main

import (
	"fmt"
	"os"

	"trefoilthread/io/cmdln"
	"trefoilthread/io/prefs"
)

// cli lists the subcommands.
type cli struct {
	Run       runCmd       `cmd:"" help:"Run the daemon beside a target."`
	Check     checkCmd     `cmd:"" help:"Check a settings file."`
	Reference referenceCmd `cmd:"" help:"Print the settings as Markdown."`
	Explain   explainCmd   `cmd:"" help:"Ask a daemon where a request would go now, without sending it."`
}

type checkCmd struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run checks a settings file and reports all its errors.
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

func main() {
	os.Exit(cmdln.Run(&cli{}, "trefoild", "The daemon of trefoilthread on the users' platform.", os.Args[1:]))
}
