// Package reqlog reads the log lines of agents about requests and counts what
// callers got, by route.
//
// Agents write JSON lines if their settings have "format = json" in [log]. A
// log is read as a stream: memory is used for the routes and not for the
// lines. Text before the first "{" of a line, for example the name of a VM, is
// dropped. Lines that are no JSON, or about something else, are counted.
//
// An agent doesn't log all of its routine requests, those that were answered
// by their first target within the goal. A line about one says how many others
// of its route were left out before it (leftOut), and counts for them too: they are taken to have
// had its latency, so quantiles are estimates.
//
// # Usage
//
//	l := reqlog.New()
//	if err := l.Read(file); err != nil {
//		return err
//	}
//	for _, name := range l.Routes() {
//		r := l.Route(name)
//		p99, _ := r.Quantile(99)
//		fmt.Println(name, r.Requests(), p99)
//	}
package reqlog
