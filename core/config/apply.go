package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Apply returns the document after a change. The document is returned as it
// was if the change is refused, repeats a known request id, alters nothing or
// is a dry run. The errors are *Invalid, *Conflict, *Missing and *Reused.
//
// The size of the new document is checked by Encode.
func Apply(doc Document, c Change, now time.Time) (Document, Result, error) {
	if r, ok := doc.Request(c.RequestID()); ok && !c.DryRun() && len(c.spec.Problems) == 0 {
		if r.digest != c.digest() {
			return doc, Result{}, &Reused{requestID: c.RequestID(), version: r.version}
		}
		return doc, doc.repeat(r), nil
	}
	i, found := doc.find(c.Name())
	if err := check(doc, c, found); err != nil {
		return doc, Result{}, err
	}
	var old, svc Service
	switch {
	case found:
		old = doc.services[i]
		if c.Base() != old.Version() || c.Action() == Create {
			return doc, Result{}, &Conflict{service: c.Name(), base: c.Base(), current: old.Version()}
		}
	case c.Action() != Create:
		return doc, Result{}, &Missing{service: c.Name()}
	case c.Base() != 0:
		return doc, Result{}, &Conflict{service: c.Name(), base: c.Base()}
	}
	next := doc.version + 1
	if c.Action() != Delete {
		svc = c.Service().WithVersion(next)
	}
	diff := Diff(old, svc)
	switch {
	case c.Action() == Update && old.sameContent(svc):
		return doc, Result{state: Unchanged, version: doc.version}, nil
	case c.DryRun():
		return doc, Result{state: Valid, version: doc.version, diff: diff}, nil
	}
	e := newEntry(c, now)
	e.from, e.to, e.diff = old.Version(), next, shorten(diff)
	out := Document{
		version:  next,
		audit:    appendBounded(doc.audit, e, MaxAudit),
		requests: appendBounded(doc.requests, Request{id: c.RequestID(), digest: c.digest(), version: next}, MaxRequests),
	}
	switch c.Action() {
	case Create:
		out.services = make([]Service, 0, len(doc.services)+1)
		out.services = append(append(append(out.services, doc.services[:i]...), svc), doc.services[i:]...)
	case Update:
		out.services = slices.Clone(doc.services)
		out.services[i] = svc
	case Delete:
		out.services = make([]Service, 0, len(doc.services)-1)
		out.services = append(append(out.services, doc.services[:i]...), doc.services[i+1:]...)
	}
	return out, Result{state: Committed, version: next, diff: diff}, nil
}

// check returns all invalid values of a change as one error.
func check(doc Document, c Change, found bool) error {
	list := checker{problems: slices.Clone(c.spec.Problems)}
	list.check(c.Action() <= Delete, -1, "action", strconv.Itoa(int(c.Action())), "create, update or delete")
	if !c.DryRun() || c.RequestID() != "" {
		list.check(isID(c.RequestID()), -1, "requestId", c.RequestID(), fmt.Sprintf("1 to %d printable ASCII characters without space", MaxID))
	}
	list.check(isID(c.Operator()), -1, "operator", c.Operator(), fmt.Sprintf("1 to %d printable ASCII characters without space", MaxID))
	if c.Action() == Delete {
		list.check(isName(string(c.Name())), -1, "name", string(c.Name()), allowedName)
	} else {
		list.problems = append(list.problems, Validate(c.Service())...)
	}
	if c.Action() == Create && !found {
		list.check(len(doc.services) < MaxServices, -1, "services", fmt.Sprintf("%d services", len(doc.services)+1),
			fmt.Sprintf("at most %d services", MaxServices))
	}
	return NewInvalid(list.problems...)
}

// repeat returns the first result of a recorded request.
func (d Document) repeat(r Request) Result {
	res := Result{state: Committed, version: r.version, repeated: true}
	if i := slices.IndexFunc(d.audit, func(e Entry) bool { return e.to == r.version }); i >= 0 {
		res.diff = d.audit[i].diff
	}
	return res
}
