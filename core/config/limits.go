package config

import "time"

// Keys of the documents in the store.
const (
	// DocumentKey is the key of the Document.
	DocumentKey = "config/doc"
	// RefusalsKey is the key of the Refusals.
	RefusalsKey = "audit/refused"
)

// Limits of the documents.
const (
	// MaxBytes bounds an encoded document: the store takes values up to 1 MB.
	MaxBytes = 1_000_000
	// MaxServices bounds the services of a document.
	MaxServices = 2000
	// MaxAudit is the number of audit entries and of refusals that are kept.
	MaxAudit = 200
	// MaxRequests is the number of request ids that are kept.
	MaxRequests = 1000
)

// Limits of a service.
const (
	// MaxRules bounds the rules of a service.
	MaxRules = 64
	// MaxDataCentres bounds the data centres of a service.
	MaxDataCentres = 64
	// MaxName bounds the names of services and data centres, in bytes. It is
	// the length of a DNS label, because both appear in host names.
	MaxName = 63
	// MaxID bounds request ids, operator names and addresses, in bytes.
	MaxID = 64
	// MaxPath bounds the path pattern of a rule, in bytes.
	MaxPath = 256
	// MaxSlots bounds the slots of a target.
	MaxSlots = 10_000
	// MaxConnections bounds the connections to a target. TCP has no more
	// ports between two addresses.
	MaxConnections = 65_535
	// MaxProbeBudget bounds the measurement of a target in each second.
	MaxProbeBudget = time.Second
	// MaxBody bounds the largest request body, in bytes.
	MaxBody = 1 << 30
	// MinDeadline and MaxDeadline bound the default deadline of a rule.
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
)

// Bounds of the diff in an audit entry. 200 entries of this size take at most
// a sixth of MaxBytes, so that history does not displace services.
const (
	maxAuditLines = 8
	maxAuditLine  = 96
	maxReason     = 256
)
