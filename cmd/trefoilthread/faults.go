package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/inierr"
)

// showFaults prints the faults of an INI file, a line each, and returns their
// number as the error. Any other error is returned as it is.
func showFaults(file string, err error) error {
	var faults inierr.Errors
	if !errors.As(err, &faults) {
		return err
	}
	if _, perr := fmt.Fprintln(os.Stderr, faults); perr != nil {
		return perr
	}
	return errors.Newf("%d faults in %s", len(faults), file)
}
