package certs

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/cockroachdb/errors"
)

// Modes of the files: a key is for its owner only, a certificate is public.
const (
	keyMode  = 0o600
	certMode = 0o644
)

// LoadAuthority reads an authority that Save wrote.
func LoadAuthority(certFile, keyFile string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "authority %s with key %s", certFile, keyFile)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Newf("authority key %s is no ECDSA key", keyFile)
	}
	if !pair.Leaf.IsCA {
		return nil, errors.Newf("certificate %s is not that of an authority", certFile)
	}
	pool := x509.NewCertPool()
	pool.AddCert(pair.Leaf)
	return &Authority{cert: pair.Leaf, key: key, pool: pool}, nil
}

// Save writes certificate and key of the authority, as WriteFiles does.
func (a *Authority) Save(certFile, keyFile string) error {
	der, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return errors.Wrap(err, "authority key")
	}
	return WriteFiles(certFile, a.CertPEM(), keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}))
}

// WriteFiles writes a certificate and its key, the key readable by its owner
// only. A file that exists is an error, since a key that is overwritten cannot
// be recovered; then neither file is written.
func WriteFiles(certFile string, certPEM []byte, keyFile string, keyPEM []byte) error {
	if err := WriteNew(keyFile, keyPEM, keyMode); err != nil {
		return err
	}
	if err := WriteNew(certFile, certPEM, certMode); err != nil {
		return errors.CombineErrors(err, os.Remove(keyFile))
	}
	return nil
}

// WriteNew writes a file that must not exist.
func WriteNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	_, err = f.Write(data)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "write"), os.Remove(file))
	}
	return nil
}
