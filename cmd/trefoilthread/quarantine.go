package main

import (
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/opspb"
)

// quarantineCmd lists the commands about requests that crash targets.
type quarantineCmd struct {
	List quarantineListCmd `cmd:"" help:"List suspected and quarantined requests."`
	Lift quarantineLiftCmd `cmd:"" help:"Let a request run again."`
}

type quarantineListCmd struct {
	client `embed:""`
}

// Run lists the entries that the daemon knows.
func (c *quarantineListCmd) Run() error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.ListQuarantine, &opspb.ListQuarantineRequest{})
	if err != nil {
		return err
	}
	if c.JSON {
		return printMessage(res)
	}
	rows := [][]string{{"FINGERPRINT", "SERVICE", "CRASHES", "STATE", "EXPIRES"}}
	for _, e := range res.GetEntries() {
		rows = append(rows, []string{
			e.GetFingerprint(), e.GetService(), strconv.Itoa(int(e.GetDeaths())), e.GetState(), e.GetExpires(),
		})
	}
	return printTable(rows)
}

type quarantineLiftCmd struct {
	client      `embed:""`
	Fingerprint string `arg:"" help:"Fingerprint, as quarantine list shows it."`
}

// Run lifts one entry.
func (c *quarantineLiftCmd) Run() error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.LiftQuarantine, &opspb.LiftQuarantineRequest{Fingerprint: c.Fingerprint})
	if err != nil {
		return err
	}
	if c.JSON {
		return printMessage(res)
	}
	if !res.GetLifted() {
		return errors.Newf("no request with fingerprint %s is suspected or quarantined", c.Fingerprint)
	}
	_, err = fmt.Printf("%s: lifted\n", c.Fingerprint)
	return err
}
