package main

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/setup"
)

type checkCmd struct {
	PrintDefaults  bool   `help:"Print a settings file with each key and its default." xor:"print"`
	PrintReference bool   `help:"Print the reference of all keys in Markdown." xor:"print"`
	File           string `arg:"" optional:"" help:"Settings file to check." type:"path"`
}

// Run checks a file, or prints the defaults or the reference.
func (c *checkCmd) Run() error {
	if c.PrintDefaults {
		_, err := fmt.Print(setup.Defaults())
		return err
	}
	if c.PrintReference {
		_, err := fmt.Print(reference())
		return err
	}
	if c.File == "" {
		return errors.New("name a settings file, or use --print-defaults or --print-reference")
	}
	s, err := setup.Load(c.File)
	if err != nil {
		return showFaults(c.File, err)
	}
	_, err = fmt.Printf("%s: settings of daemon %s in data centre %s are valid\n", c.File, s.ID(), s.DataCentre())
	return err
}
