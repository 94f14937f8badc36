// Command standin plays the cases of the review: it starts the daemons of a small
// deployment as separate processes on loopback addresses, with stand-ins of the platform's
// store, the targets and the callers in this process, and judges one rule by what callers
// and targets have seen.
//
// # Usage
//
//	standin SCENARIO RECORD
//
// SCENARIO is the name of a scenario, RECORD the file for what was sent, answered and run.
// TREFOILD is the path of the daemon's program, TROUBLE=0 leaves the disruption out, KEEP=1
// keeps the logs of the daemons. The exit status is 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run.
package main
