// Package crash tracks the requests that may crash targets, for one agent.
//
// A request is known by the fingerprint of its content. The agent beside a target reports the
// requests that start and end there (Begin, End) and the death of the target (TargetDied); the
// agent of a caller asks whether a request is refused (Refuse), or runs without a retry
// (IsOnTrial). The rules are those of core/poison.
//
// Deaths, and good answers that clear a request of them, are sent to all other agents by
// Options.Broadcast; they pass them to Merge. A notice that is lost isn't repeated, but each one
// holds all deaths of its requests. Nothing is kept on disk.
//
// # Usage
//
//	s := crash.New(crash.Options{Self: "vm-1", Boot: boot, Clock: clock, Log: l, Broadcast: broadcast})
//	fp := crash.FingerprintOf(head)
//	if _, ok := s.Refuse(fp); ok || !s.Begin(fp) {
//		return refuse()
//	}
//	ans := run(head)
//	s.End(fp, ans.Result)
package crash
