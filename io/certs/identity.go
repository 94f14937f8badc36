package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ServerName is the name in the certificate of each daemon.
const ServerName = "trefoilthread"

// Protocol is the ALPN name of the protocol between daemons.
const Protocol = "trefoilthread/1"

// Identity is a certificate with its key and the authority of the peers. The
// certificate can be replaced while connections use it.
type Identity struct {
	mu    sync.RWMutex
	cert  tls.Certificate
	roots *x509.CertPool
	files [3]string
	times [3]time.Time
}

// Load reads certificate, key and authority from PEM files.
func Load(certFile, keyFile, caFile string) (*Identity, error) {
	id := &Identity{files: [3]string{certFile, keyFile, caFile}}
	if _, err := id.Reload(); err != nil {
		return nil, err
	}
	return id, nil
}

// Reload reads the files again if one of them changed and reports whether it
// did. On an error the former identity stays in use.
func (id *Identity) Reload() (bool, error) {
	var times [3]time.Time
	for i, f := range id.files {
		if f == "" {
			return false, nil
		}
		st, err := os.Stat(f)
		if err != nil {
			return false, errors.Wrap(err, "identity file")
		}
		times[i] = st.ModTime()
	}
	id.mu.RLock()
	same := times == id.times
	id.mu.RUnlock()
	if same {
		return false, nil
	}
	cert, err := tls.LoadX509KeyPair(id.files[0], id.files[1])
	if err != nil {
		return false, errors.Wrapf(err, "certificate %s with key %s", id.files[0], id.files[1])
	}
	pem, err := os.ReadFile(id.files[2])
	if err != nil {
		return false, errors.Wrap(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return false, errors.Newf("authority %s holds no PEM certificate", id.files[2])
	}
	id.mu.Lock()
	defer id.mu.Unlock()
	id.cert, id.roots, id.times = cert, roots, times
	return true, nil
}

// NotAfter returns when the certificate in use expires.
func (id *Identity) NotAfter() time.Time {
	id.mu.RLock()
	defer id.mu.RUnlock()
	if id.cert.Leaf == nil {
		return time.Time{}
	}
	return id.cert.Leaf.NotAfter
}

// Config returns a TLS configuration for both ends of a connection. It looks
// up the certificate at each handshake, so a reload needs no restart.
func (id *Identity) Config() *tls.Config {
	cfg := id.base()
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return id.base(), nil
	}
	return cfg
}

// ClientConfig returns the TLS configuration for one new outgoing connection,
// with the authority in force now.
func (id *Identity) ClientConfig() *tls.Config { return id.base() }

func (id *Identity) base() *tls.Config {
	id.mu.RLock()
	defer id.mu.RUnlock()
	cert := id.cert
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		ServerName:   ServerName,
		Certificates: []tls.Certificate{cert},
		RootCAs:      id.roots,
		ClientCAs:    id.roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}
