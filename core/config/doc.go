// Package config holds the configuration of a deployment: the document with
// all services, the rules by which it changes, and the holder of the document
// that a daemon has in force.
//
// There is one document for a deployment, stored as CBOR under DocumentKey and
// bounded by MaxBytes, the largest value the store takes. A Document is an
// immutable snapshot. Apply makes the next one from a Change, which names the
// service version it builds on, so of two concurrent changes to one service
// the second is refused with a Conflict. The version of a service is the
// version of the document that last changed it; it is therefore never used
// twice, also when a service is deleted and created again.
//
// A Change carries a request id. The document remembers the last MaxRequests
// ids with their results, so that an operator who lost an answer sends the
// same change again and gets the first result. The record is part of the
// document: the change and the proof that it was made are one write. An id
// that comes again with other content is refused with Reused, because the
// first result would hide that the new content was never applied.
//
// Apply reports all faults of a change at once, sorted by field, each with the
// bad value and what is allowed. Decode does not repeat this validation:
// a daemon must take a document that was valid under the limits of the release
// that wrote it. It checks only what the code relies on, such as the order of
// the services.
//
// Refused changes are recorded in a second bounded document, Refusals, under
// RefusalsKey. They stay out of the main document so that refusals neither
// raise its version nor cause a push to every daemon.
//
// # Classification
//
// The first rule of a service that matches method and path applies. A path
// without a trailing "*" matches exactly; the query is ignored. A request
// without a matching rule gets DefaultRule, which runs at most once. The same
// holds for a path that a target may resolve to another one (dot segments,
// empty segments, encoded dots or slashes): a prefix match on such a path
// could give a deposit the class of a lookup.
//
// # Usage
//
//	doc, err := config.Decode(item.Value)
//	if err != nil {
//		return err
//	}
//	next, result, err := config.Apply(doc, config.NewChange(config.ChangeSpec{
//		Action: config.Update, Service: svc, Base: 17,
//		RequestID: "6c1f", Operator: "aisyah", Address: "10.0.0.7",
//	}), now)
//	var conflict *config.Conflict
//	if errors.As(err, &conflict) {
//		// read again
//	}
//	if result.State() == config.Committed && !result.Repeated() {
//		value, err = config.Encode(next)
//	}
//
// A daemon keeps the document in force in a Current and asks it for rules:
//
//	cur := config.NewCurrent()
//	cur.Offer(next)
//	if svc, ok := cur.Document().Service("bookings"); ok {
//		rule := svc.Classify("GET", "/menu")
//	}
package config
