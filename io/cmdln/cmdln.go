// Package cmdln runs a program's subcommands, so that each main stays thin.
//
// # Usage
//
//	type cli struct {
//		Run runCmd `cmd:"" help:"Run the daemon."`
//	}
//	os.Exit(cmdln.Run(&cli{}, "trefoild", "The daemon.", os.Args[1:]))
package cmdln

import "github.com/alecthomas/kong"

// Exit codes of Run besides 0.
const (
	failed = 1
	usage  = 2
)

// Run parses args into grammar, a pointer to a struct of commands, runs the
// command and returns the exit code: 1 if it failed, 2 if args are no command.
// It panics if the grammar itself is wrong.
func Run(grammar any, name, description string, args []string) int {
	parser, err := kong.New(grammar, kong.Name(name), kong.Description(description), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return usage
	}
	if err := ctx.Run(); err != nil {
		parser.Errorf("%s", err)
		return failed
	}
	return 0
}
