// Package demo runs one deployment in one process, sends it calls of every
// class, and reports what callers got and whether the promises held.
//
// The promises it checks: no key ran twice, no call refused as not run ran, no
// answer was crossed or cut, and measuring stayed within its budget. It does
// not bring about failures; the load tool's scenarios do.
//
// # Usage
//
//	rep, err := demo.Run(ctx, demo.Options{Deployment: dep, Duration: 5 * time.Second, Progress: os.Stderr})
//	if err != nil {
//		return err
//	}
//	rep.WriteText(os.Stdout)
//	if !rep.Kept() {
//		os.Exit(1)
//	}
package demo
