package main

import (
	"fmt"
	"strings"

	"trefoilthread/io/opspb"
)

type historyCmd struct {
	client `embed:""`
	Limit  int32 `default:"20" help:"Entries to list, 0 for all that are kept."`
}

// Run lists the audit entries.
func (c *historyCmd) Run() error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.History, &opspb.HistoryRequest{Limit: c.Limit})
	if err != nil {
		return err
	}
	if c.JSON {
		return printMessage(res)
	}
	for _, e := range res.GetEntries() {
		line := fmt.Sprintf("%s %s from %s: %s %s", e.GetTime(), e.GetOperator(), e.GetAddress(), e.GetAction(), e.GetService())
		if e.GetRefused() != "" {
			line += ", refused: " + e.GetRefused()
		} else {
			line += fmt.Sprintf(", version %d -> %d", e.GetFromVersion(), e.GetToVersion())
		}
		if _, err := fmt.Println(strings.Join(append([]string{line, "request " + e.GetRequestId()}, e.GetDiff()...), "\n  ")); err != nil {
			return err
		}
	}
	return nil
}
