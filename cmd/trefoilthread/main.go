// Command trefoilthread is the daemon beside each target, the operators'
// command line, and the load and demonstration tools.
//
// # Usage
//
//	trefoilthread demo                          one deployment in one process
//	trefoilthread check daemon.ini              check a settings file
//	trefoilthread check --print-defaults        print every key and its default
//	trefoilthread check --print-reference       print docs/settings.md
//	trefoilthread keys authority|issue|token    make certificates and tokens
//	trefoilthread daemon daemon.ini             run the daemon
//	trefoilthread config apply services.ini     change services
//	trefoilthread target list                   list the known targets
//	trefoilthread quarantine list               list requests that crash targets
//	trefoilthread load scenario.ini             compare policies under load
//	trefoilthread latency before=FILE after=FILE
//	                                            compare what callers got, by logs of agents
package main

import (
	"os"

	"trefoilthread/io/cmdln"
)

// cli lists the subcommands; each stands in a file of its own.
type cli struct {
	Daemon     daemonCmd     `cmd:"" help:"Run the daemon beside a target."`
	Check      checkCmd      `cmd:"" help:"Check a settings file."`
	Keys       keysCmd       `cmd:"" help:"Make certificates of daemons and tokens of operators."`
	Config     configCmd     `cmd:"" help:"Read and change the services."`
	Target     targetCmd     `cmd:"" help:"List targets, take them out of service and back."`
	Quarantine quarantineCmd `cmd:"" help:"List and lift requests that crash targets."`
	Demo       demoCmd       `cmd:"" help:"Run one deployment in one process and report."`
	Load       loadCmd       `cmd:"" help:"Compare policies under load and faults."`
	Latency    latencyCmd    `cmd:"" help:"Compare logs of agents: what callers got, by route."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run is main without the exit, so that golden sessions can call it.
func run(args []string) int {
	return cmdln.Run(&cli{}, "trefoilthread", "A load balancer for servers whose load shifts in milliseconds.", args)
}
