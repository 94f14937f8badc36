package main

import (
	"fmt"
	"strconv"

	"trefoilthread/io/opspb"
)

type statusCmd struct {
	client `embed:""`
}

// Run shows the versions in force. It works during an outage of the store.
func (c *statusCmd) Run() error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.Status, &opspb.StatusRequest{})
	if err != nil {
		return err
	}
	if c.JSON {
		return printMessage(res)
	}
	if _, err := fmt.Printf("version %d in force in this daemon\n", res.GetVersion()); err != nil {
		return err
	}
	rows := [][]string{{"DATA CENTRE", "IN FORCE", "MEMBERS", "LEADER"}}
	for _, d := range res.GetDataCentres() {
		rows = append(rows, []string{
			d.GetDataCentre(), strconv.FormatInt(d.GetInForce(), 10), strconv.Itoa(int(d.GetMembers())), orDash(d.GetLeader()),
		})
	}
	return printTable(rows)
}
