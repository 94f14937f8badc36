// Package change reads the services of an operator's INI file and writes them
// back.
//
// A file has any number of services. The rules of a service are sections of
// their own, in order of precedence; the section name holds service, method
// and path, so that no two rules can have the same:
//
//	[service "bookings"]
//	version     = 17
//	dataCentres = kl-sentral, penang-north
//	slots       = 12
//	connections = 250
//	probeBudget = 10ms
//
//	[rule "bookings" "GET" "/menu*"]
//	urgent   = true
//	runs     = idempotent
//	deadline = 80ms
//	worth    = 1
//
// version is the version of the service that the file was made from, 0 or
// absent for a new service. It travels with the file so that a change made by
// another operator in the meantime is a conflict and not lost. DataCentres,
// slots and connections are required; the other keys have the defaults of
// DefaultService and config.DefaultRule.
//
// The file is split into sections here and each one is parsed by ini.v1, which
// does not report lines. Values that span lines, quoted keys and comments
// behind values are refused or taken literally, because a path may hold the
// comment signs.
//
// Parse reports all errors at once, sorted by line, each with file, line,
// section, key, bad value and what is allowed. Format writes files that Parse
// reads as the same services, so that get and apply change nothing.
//
// # Usage
//
//	services, err := change.Parse(path, data)
//	var list *change.Errors
//	if errors.As(err, &list) {
//		for _, e := range list.All() {
//			fmt.Fprintln(os.Stderr, e)
//		}
//	}
//	out, err := change.Format(services)
package change
