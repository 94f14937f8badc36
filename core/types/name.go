package types

// ServiceName names a service as operators created it.
type ServiceName string

// CustomerName names a customer of the deployment.
type CustomerName string

// DataCentre names a data centre.
type DataCentre string

// TargetID names a target and the daemon on the same VM.
type TargetID string

// Fingerprint is a hash of the content of a request: the same service, method,
// path and body give the same fingerprint, whoever sends it.
type Fingerprint uint64
