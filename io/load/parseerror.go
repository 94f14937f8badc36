package load

import "trefoilthread/io/inierr"

// ParseErrors are all faults of a scenario file, by line.
type ParseErrors = inierr.Errors
