package config

import (
	"slices"
	"strings"

	"trefoilthread/core/types"
)

// Document is an immutable snapshot of the configuration. The zero value is
// the document before the first change, with version 0.
type Document struct {
	version  int64
	services []Service
	audit    []Entry
	requests []Request
}

// Version returns the number of changes committed so far.
func (d Document) Version() int64 { return d.version }

// Services returns a copy of the services, sorted by name.
func (d Document) Services() []Service { return slices.Clone(d.services) }

// Len returns the number of services.
func (d Document) Len() int { return len(d.services) }

// Service returns the service with the given name.
func (d Document) Service(name types.ServiceName) (Service, bool) {
	i, ok := d.find(name)
	if !ok {
		return Service{}, false
	}
	return d.services[i], true
}

// Audit returns a copy of the last MaxAudit entries, oldest first.
func (d Document) Audit() []Entry { return slices.Clone(d.audit) }

// Requests returns a copy of the last MaxRequests request ids, oldest first.
func (d Document) Requests() []Request { return slices.Clone(d.requests) }

// Request returns the record of a request id.
func (d Document) Request(id string) (Request, bool) {
	for i := len(d.requests) - 1; i >= 0; i-- {
		if d.requests[i].id == id {
			return d.requests[i], true
		}
	}
	return Request{}, false
}

func (d Document) find(name types.ServiceName) (int, bool) {
	return slices.BinarySearchFunc(d.services, name, func(s Service, n types.ServiceName) int {
		return strings.Compare(string(s.spec.Name), string(n))
	})
}

// appendBounded returns a new slice with the last n elements of list and v.
func appendBounded[T any](list []T, v T, n int) []T {
	if len(list) >= n {
		list = list[len(list)-n+1:]
	}
	out := make([]T, 0, len(list)+1)
	return append(append(out, list...), v)
}
