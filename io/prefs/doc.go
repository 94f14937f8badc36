// Package prefs reads the settings file of an agent, in INI.
//
// Each key is described once, in the table of keys. All errors of a file are
// reported together, each with file, line, section, key, the bad value and what
// is allowed. Sections and keys that are unknown are ignored: the platform
// that fills the file in may know more than this program.
//
// # Usage
//
//	p, err := prefs.Load("agent.ini")
//	if err != nil {
//		return err // one line per error
//	}
//	st := platform.NewStore(p.StoreAddress(), platform.StoreOptions{})
package prefs
