package main

import (
	"fmt"
	"strings"

	"trefoilthread/io/admin"
	"trefoilthread/io/opspb"
)

type diffCmd struct {
	client `embed:""`
	Files  []string `arg:"" name:"file" help:"Files with services." type:"path"`
}

// difference is what apply would change in one service.
type difference struct {
	Service string   `json:"service"`
	Diff    []string `json:"diff"`
}

// Run compares files with the services in the store.
func (c *diffCmd) Run() error {
	services, ops, err := c.open(c.Files)
	if err != nil {
		return err
	}
	list := []difference{}
	for _, s := range services {
		res, err := send(ops.DiffService, &opspb.ChangeRequest{Service: admin.ToProto(s)})
		if err != nil {
			return err
		}
		list = append(list, difference{Service: string(s.Name()), Diff: append([]string{}, res.GetDiff()...)})
	}
	if c.JSON {
		return printJSON(list)
	}
	for _, d := range list {
		line := d.Service + ":"
		if len(d.Diff) == 0 {
			line += " unchanged"
		}
		if _, err := fmt.Println(strings.Join(append([]string{line}, d.Diff...), "\n  ")); err != nil {
			return err
		}
	}
	return nil
}
