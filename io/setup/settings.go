package setup

import (
	"time"

	"trefoilthread/core/types"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	id         types.TargetID
	dataCentre types.DataCentre

	callers string
	peers   string
	local   string

	certFile, keyFile, caFile string

	storeEndpoints []string
	writesPerSec   float64
	readsPerSec    float64
	leaseTime      time.Duration

	stopBound    time.Duration
	queue        int
	urgentShare  float64
	stallAfter   time.Duration
	partitions   int
	keyRetention time.Duration
	keysMax      int
	distance     time.Duration

	logLevel  string
	logFormat string

	operators map[string][32]byte
}

// ID returns the name of this daemon and its target.
func (s *Settings) ID() types.TargetID { return s.id }

// DataCentre returns where this daemon runs.
func (s *Settings) DataCentre() types.DataCentre { return s.dataCentre }

// CallerAddress returns the TCP address for callers.
func (s *Settings) CallerAddress() string { return s.callers }

// PeerAddress returns the UDP address for other daemons.
func (s *Settings) PeerAddress() string { return s.peers }

// LocalAddress returns the TCP address for announcements, metrics and operators.
func (s *Settings) LocalAddress() string { return s.local }

// CertFile returns the file of this daemon's certificate.
func (s *Settings) CertFile() string { return s.certFile }

// KeyFile returns the file of this daemon's private key.
func (s *Settings) KeyFile() string { return s.keyFile }

// CAFile returns the file of the authority that signs daemons' certificates.
func (s *Settings) CAFile() string { return s.caFile }

// StoreEndpoints returns the URLs of the platform's key-value service.
func (s *Settings) StoreEndpoints() []string { return s.storeEndpoints }

// StoreWrites returns the store writes a second this daemon may make.
func (s *Settings) StoreWrites() float64 { return s.writesPerSec }

// StoreReads returns the store reads a second this daemon may make.
func (s *Settings) StoreReads() float64 { return s.readsPerSec }

// LeaseTime returns the time to live of a leadership lease.
func (s *Settings) LeaseTime() time.Duration { return s.leaseTime }

// StopBound returns how long a graceful stop may take.
func (s *Settings) StopBound() time.Duration { return s.stopBound }

// Queue returns how many calls may wait for the target.
func (s *Settings) Queue() int { return s.queue }

// UrgentShare returns the share of slots kept for urgent calls.
func (s *Settings) UrgentShare() float64 { return s.urgentShare }

// StallAfter returns how long a connection may make no progress.
func (s *Settings) StallAfter() time.Duration { return s.stallAfter }

// Partitions returns the number of partitions of idempotency keys.
func (s *Settings) Partitions() int { return s.partitions }

// KeyRetention returns how long an idempotency key is remembered.
func (s *Settings) KeyRetention() time.Duration { return s.keyRetention }

// KeysMax returns how many keys one partition remembers at most.
func (s *Settings) KeysMax() int { return s.keysMax }

// Distance returns the one-way time to another data centre.
func (s *Settings) Distance() time.Duration { return s.distance }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat returns the format of log lines.
func (s *Settings) LogFormat() string { return s.logFormat }

// Operators returns the SHA-256 of each operator's token by name.
func (s *Settings) Operators() map[string][32]byte { return s.operators }
