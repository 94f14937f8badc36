// Package inierr holds the errors of INI files with their positions, and finds
// positions that the INI library does not keep.
//
// # Usage
//
//	pos := inierr.Positions(data)
//	errs = append(errs, inierr.New(file, pos.Line("store", "endpoints"), "store", "endpoints", v, "allowed: URLs"))
//	return errs.Sorted()
package inierr
