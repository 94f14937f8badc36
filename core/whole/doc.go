// Package whole tests the decisions of core together. It has no code of its
// own.
//
// The tests of each package of core assume how the others behave. Here three
// to five daemons with a target each, in two data centres, run their calls
// through config, claims, route, admit and retry, joined as in io/entry and
// io/daemon, with the members of core/member. A loop runs messages and timers
// on a virtual clock; the store is a small fake with compare-and-swap and
// leases. A script drawn by rapid has the calls and the faults: crashes and
// replacement, pauses, targets that crash or are slow, messages that are lost,
// repeated or late, store outages, lost store answers, a data centre cut
// off from the other one and the store, partitions taken over while their owner
// still works, drains, repeated keys, changes of configuration and of leaders.
//
// # Oracle
//
// One model knows only callers, runs and answers:
//
//   - a key runs at most once, and so does an at-most-once call without key;
//   - a call refused as not run has not run and never does;
//   - an answer belongs to the call, or the key, that gets it;
//   - a target never runs more calls than it has slots;
//   - after a drain is acknowledged, nothing new starts there;
//   - the configuration version of a process never goes back;
//   - every call gets exactly one result, at most 50 ms after its deadline, not
//     counting the time for which its entry daemon is paused;
//   - once the faults have ended, a call of each daemon is answered.
//
// TestOracleFindsBrokenRules breaks rules one at a time and requires that the
// oracle finds each.
//
// # Urgency
//
// TestUrgencyThroughCalls is a model of its own: gates, pickers, tries and retry budgets of
// two services, the first of which calls the second. It compares the served shares of
// request types of different ranks under overload, with rejecting targets and on slow hosts.
//
// # Limits
//
// The transport is QUIC without early data, so a request is not repeated by it;
// answers are. A VM is replaced with its target, and a target works on a
// canceled call to its end. Leases of leadership, suspects (core/poison),
// probes and stalled connections to the target are not modelled.
//
// # Usage
//
// The number of sequences and the seed are fixed, so that the verdict is the
// same each time. The longer run draws another seed each time:
//
//	go test ./core/whole -run 'TestWhole$' -rapid.checks 100000 -rapid.seed 0 -timeout 20m -v
//
// A failure prints its seed and the shortest script found.
package whole
