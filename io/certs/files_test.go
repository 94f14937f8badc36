package certs_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/certs"
)

// daemonFiles makes an authority in a new directory, loads it again and issues
// a certificate.
func daemonFiles(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	dir, now := t.TempDir(), time.Now()
	a, err := certs.NewAuthorityUntil(now, now.Add(time.Hour))
	is.NoErr(err)
	is.NoErr(a.Save(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key")))
	loaded, err := certs.LoadAuthority(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"))
	is.NoErr(err)
	cert, key, err := loaded.Issue("a", now.Add(-time.Minute), now.Add(time.Minute))
	is.NoErr(err)
	is.NoErr(certs.WriteFiles(filepath.Join(dir, "d.crt"), cert, filepath.Join(dir, "d.key"), key))
	return dir
}

func load(t *testing.T, dir, ca string) *certs.Identity {
	t.Helper()
	id, err := certs.Load(filepath.Join(dir, "d.crt"), filepath.Join(dir, "d.key"), filepath.Join(ca, "ca.crt"))
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// handshake returns the error of either end.
func handshake(client, server *certs.Identity) error {
	a, b := net.Pipe()
	done := make(chan error, 1)
	go func() {
		c := tls.Server(b, server.Config())
		_, err := c.Write([]byte{1})
		done <- errors.Join(err, b.Close())
	}()
	// A TLS 1.3 client learns of its refusal by the first read.
	_, err := tls.Client(a, client.ClientConfig()).Read(make([]byte, 1))
	_ = a.Close()
	return errors.Join(err, <-done)
}

// Guards against keys that others can read, certificates that daemons do not
// accept, and a daemon of another authority that is let in at either end.
func TestFilesOfAnAuthority(t *testing.T) {
	is := is.New(t)
	one, other := daemonFiles(t), daemonFiles(t)
	for file, mode := range map[string]os.FileMode{"ca.key": 0o600, "d.key": 0o600, "ca.crt": 0o644, "d.crt": 0o644} {
		st, err := os.Stat(filepath.Join(one, file))
		is.NoErr(err)
		is.Equal(st.Mode().Perm()&^mode, os.FileMode(0)) // file
	}
	is.NoErr(handshake(load(t, one, one), load(t, one, one)))
	is.True(handshake(load(t, other, other), load(t, one, one)) != nil)
	is.True(handshake(load(t, other, one), load(t, one, one)) != nil) // trusts the right authority, has another's certificate
	is.True(handshake(load(t, one, one), load(t, other, one)) != nil)
}

// Guards against a key that is lost because its file is written again, and
// against a new key beside the certificate of an old one.
func TestFilesAreNotOverwritten(t *testing.T) {
	is := is.New(t)
	dir := daemonFiles(t)
	before, err := os.ReadFile(filepath.Join(dir, "d.key"))
	is.NoErr(err)
	is.True(certs.WriteFiles(filepath.Join(dir, "new.crt"), nil, filepath.Join(dir, "d.key"), []byte("x")) != nil)
	is.True(certs.WriteFiles(filepath.Join(dir, "d.crt"), nil, filepath.Join(dir, "new.key"), []byte("x")) != nil)
	after, err := os.ReadFile(filepath.Join(dir, "d.key"))
	is.NoErr(err)
	is.Equal(string(after), string(before))
	for _, f := range []string{"new.crt", "new.key"} {
		_, err := os.Stat(filepath.Join(dir, f))
		is.True(os.IsNotExist(err))
	}
}
