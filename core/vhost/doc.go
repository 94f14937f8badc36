// Package vhost holds the routes of virtual hosts: which service a request
// goes to and how it is to be treated.
//
// A Table is one version of the configuration and never changes. The route of
// a request is the one with the longest prefix of its path among those of its
// host. A route names one service, or several with weights; a request keeps to
// the part of the weights that its id selects, so that each part gets its share
// whatever the load is.
//
// # Usage
//
//	t, err := vhost.New(spec)
//	r, ok := t.Lookup(host, path)
//	if !ok {
//		// No such route in this version.
//	}
//	service := r.Service(xxhash.Sum64String(id))
package vhost
