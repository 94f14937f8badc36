// Package logs sets up structured logging with apex/log.
//
// Each line carries the daemon's data centre and id; a line about a call also
// carries its request id and service. Nothing that authenticates (tokens,
// keys, certificates) and no body is ever logged.
//
// # Usage
//
//	l, err := logs.New(os.Stderr, "info", "json")
//	if err != nil {
//		return err
//	}
//	l.WithField("dataCentre", dc).Info("daemon started")
package logs
