package setup

import "trefoilthread/io/inierr"

// Error is one fault of a settings file.
type Error = inierr.Error

// Errors are all faults of a settings file, by line.
type Errors = inierr.Errors
