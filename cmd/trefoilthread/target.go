package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"trefoilthread/io/opspb"
)

// targetCmd lists the commands about targets.
type targetCmd struct {
	List   targetListCmd   `cmd:"" help:"List the targets that a daemon knows."`
	Drain  targetDrainCmd  `cmd:"" help:"Take a target out of service: it finishes its calls and takes no new ones."`
	Resume targetResumeCmd `cmd:"" help:"Take a drained target back into service."`
}

type targetListCmd struct {
	client  `embed:""`
	Service string `help:"Only the targets of this service."`
}

// Run lists targets, sorted by name.
func (c *targetListCmd) Run() error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.ListTargets, &opspb.ListTargetsRequest{Service: c.Service})
	if err != nil {
		return err
	}
	slices.SortFunc(res.GetTargets(), func(a, b *opspb.TargetStatus) int { return strings.Compare(a.GetTarget(), b.GetTarget()) })
	if c.JSON {
		return printMessage(res)
	}
	rows := [][]string{{"TARGET", "SERVICE", "DATA CENTRE", "STATE", "IN FLIGHT", "LIMIT"}}
	for _, t := range res.GetTargets() {
		rows = append(rows, []string{
			t.GetTarget(), orDash(t.GetService()), t.GetDataCentre(), t.GetState(),
			strconv.Itoa(int(t.GetInFlight())), strconv.Itoa(int(t.GetLimit())),
		})
	}
	return printTable(rows)
}

type targetDrainCmd struct {
	client `embed:""`
	Target string `arg:"" help:"Name of the target, as target list shows it."`
}

// Run drains a target. To drain it again alters nothing.
func (c *targetDrainCmd) Run() error { return c.setDrain(c.Target, true) }

type targetResumeCmd struct {
	client `embed:""`
	Target string `arg:"" help:"Name of the target, as target list shows it."`
}

// Run ends a drain.
func (c *targetResumeCmd) Run() error { return c.setDrain(c.Target, false) }

func (c *client) setDrain(target string, drain bool) error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.DrainTarget, &opspb.DrainTargetRequest{Target: target, Drain: drain})
	if err != nil {
		return err
	}
	if c.JSON {
		return printMessage(res)
	}
	_, err = fmt.Printf("%s: %s\n", target, res.GetState())
	return err
}
