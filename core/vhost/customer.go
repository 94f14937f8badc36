package vhost

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"trefoilthread/core/types"
)

// maxKeyBytes is the length of the longest API key that a configuration may have.
const maxKeyBytes = 512

// maxQuota is the largest rate and burst of a customer, in requests.
const maxQuota = 1e9

// CustomerSpec describes a Customer.
type CustomerSpec struct {
	Name      types.CustomerName
	Keys      []string // API keys; one that is removed isn't accepted any more
	Rank      int      // priority; 0 is the highest
	PerSecond float64  // requests a second over all daemons, 0 for no limit
	Burst     float64  // requests beyond PerSecond that may come at once
}

// Customer is a customer of one configuration version. It is immutable.
type Customer struct {
	spec CustomerSpec
}

// Name returns the name that targets get.
func (c *Customer) Name() types.CustomerName { return c.spec.Name }

// Rank returns the priority; 0 is the highest. It goes before the one of a route.
func (c *Customer) Rank() int { return c.spec.Rank }

// PerSecond returns the requests a second that all daemons together may accept, 0 for no
// limit.
func (c *Customer) PerSecond() float64 { return c.spec.PerSecond }

// Burst returns the requests beyond PerSecond that may come at once.
func (c *Customer) Burst() float64 { return c.spec.Burst }

// addCustomers checks the customers of a configuration and adds them. Errors name a
// customer and the position of a key, never the key itself, because they are logged.
func (t *Table) addCustomers(specs []CustomerSpec) error {
	var errs []error
	for _, s := range specs {
		c := &Customer{spec: s}
		c.spec.Keys = nil // kept in t.keys only
		if err := s.check(); err != nil {
			errs = append(errs, err)
		}
		if _, ok := t.customers[s.Name]; ok {
			errs = append(errs, fmt.Errorf("customer %s: named twice", s.Name))
		}
		t.customers[s.Name] = c
		for i, key := range s.Keys {
			if other, ok := t.keys[key]; ok && other != c {
				errs = append(errs, fmt.Errorf("customer %s: key %d belongs to customer %s as well", s.Name, i+1, other.Name()))
			}
			t.keys[key] = c
		}
	}
	return errors.Join(errs...)
}

// check returns an error for each value that isn't allowed.
func (s CustomerSpec) check() error {
	var errs []error
	if s.Name == "" {
		errs = append(errs, errors.New("customer without name"))
	}
	for i, key := range s.Keys {
		if key == "" || len(key) > maxKeyBytes {
			errs = append(errs, fmt.Errorf("customer %s: key %d has %d bytes, allowed 1 to %d", s.Name, i+1, len(key), maxKeyBytes))
		}
	}
	for what, n := range map[string]float64{"limit": s.PerSecond, "burst": s.Burst} {
		if math.IsNaN(n) || n < 0 || n > maxQuota {
			errs = append(errs, fmt.Errorf("customer %s: %s is %v, allowed 0 to %g", s.Name, what, n, maxQuota))
		}
	}
	return errors.Join(errs...)
}

// HasCustomers reports whether requests need an API key, except those on public routes. A
// configuration that has lost its last customer still does: requests with keys that were
// removed must not run as if they needed none.
func (t *Table) HasCustomers() bool { return t.hasKeys }

// CustomerOf returns the customer with an API key, and false if no customer has it.
func (t *Table) CustomerOf(key string) (*Customer, bool) {
	c, ok := t.keys[key]
	return c, ok
}

// Customers returns all customers in no order. It returns none for a nil table.
func (t *Table) Customers() []*Customer {
	if t == nil {
		return nil
	}
	return slices.Collect(maps.Values(t.customers))
}

// Customer returns the named customer, and false if it is not defined.
func (t *Table) Customer(name types.CustomerName) (*Customer, bool) {
	c, ok := t.customers[name]
	return c, ok
}
