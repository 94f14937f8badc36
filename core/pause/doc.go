// Package pause decides when a target gets no calls because its responses are too long.
//
// A target that sends bytes without end costs the daemon beside it as much reading for each
// call as the bounds of a response allow. If it is the only target of a service, all calls
// of the service go to it. After several such responses in a row it therefore gets no calls for a
// pause, and one trial call after it. Each trial call whose response is too long as well doubles
// the pause, up to a bound. A trial call that ends in another way leaves the pause as it is.
//
// A response that is complete and within the bounds ends the pause at once, whenever its call
// started. A call that started before the present pause doesn't prolong it, as calls that ran
// together would otherwise count as trials in a row.
//
// A Tracker isn't safe for concurrent use.
//
// # Usage
//
//	var t pause.Tracker
//	if !t.Start(now) {
//		// refuse the call as not run, for t.Left(now)
//	}
//	// run it, then:
//	switch {
//	case isTooLong:
//		begun := t.RecordTooLong(now, started)
//	case isComplete:
//		ended := t.RecordComplete()
//	}
package pause
