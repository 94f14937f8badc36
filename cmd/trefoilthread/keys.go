package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/certs"
)

const day = 24 * time.Hour

// keysCmd lists the commands that make keys. No key is ever printed.
type keysCmd struct {
	Authority keysAuthorityCmd `cmd:"" help:"Make the authority that signs the certificates of all daemons."`
	Issue     keysIssueCmd     `cmd:"" help:"Make key and certificate of a daemon."`
	Token     keysTokenCmd     `cmd:"" help:"Make the token of an operator."`
}

type keysAuthorityCmd struct {
	Cert string `required:"" placeholder:"FILE" type:"path" help:"File to write the certificate to."`
	Key  string `required:"" placeholder:"FILE" type:"path" help:"File to write the key to, mode 0600."`
	Days int    `default:"3650" help:"Days of validity."`
}

// Run makes an authority. Files that exist are not overwritten.
func (c *keysAuthorityCmd) Run() error {
	now := time.Now()
	end, err := validity(now, c.Days)
	if err != nil {
		return err
	}
	a, err := certs.NewAuthorityUntil(now, end)
	if err != nil {
		return err
	}
	return a.Save(c.Cert, c.Key)
}

type keysIssueCmd struct {
	Authority    string `required:"" placeholder:"FILE" type:"path" help:"Certificate of the authority."`
	AuthorityKey string `required:"" placeholder:"FILE" type:"path" help:"Key of the authority."`
	Name         string `required:"" help:"Name of the daemon, as in its settings."`
	Days         int    `default:"30" help:"Days of validity."`
	Cert         string `required:"" placeholder:"FILE" type:"path" help:"File to write the certificate to."`
	Key          string `required:"" placeholder:"FILE" type:"path" help:"File to write the key to, mode 0600."`
}

// Run makes a certificate that ends no later than that of its authority.
func (c *keysIssueCmd) Run() error {
	a, err := certs.LoadAuthority(c.Authority, c.AuthorityKey)
	if err != nil {
		return err
	}
	now := time.Now()
	end, err := validity(now, c.Days)
	if err != nil {
		return err
	}
	if end.After(a.NotAfter()) {
		return errors.Newf("%d days are longer than the authority is valid, until %s", c.Days, a.NotAfter().UTC().Format(time.RFC3339))
	}
	// An hour before now, for daemons whose clocks are behind.
	cert, key, err := a.Issue(c.Name, now.Add(-time.Hour), end)
	if err != nil {
		return err
	}
	return certs.WriteFiles(c.Cert, cert, c.Key, key)
}

func validity(now time.Time, days int) (time.Time, error) {
	if days < 1 || days > 36500 {
		return now, errors.Newf("%d days, allowed 1 to 36500", days)
	}
	return now.Add(time.Duration(days) * day), nil
}

type keysTokenCmd struct {
	Name string `arg:"" help:"Name of the operator, for the history of changes."`
	File string `placeholder:"FILE" type:"path" help:"Write the token to this file, mode 0600, and print only the line with the SHA-256."`
}

// Run prints a token and its line for the section [operators] of the settings.
func (c *keysTokenCmd) Run() error {
	token := rand.Text()
	sum := sha256.Sum256([]byte(token))
	if c.File != "" {
		if err := certs.WriteNew(c.File, []byte(token+"\n"), 0o600); err != nil {
			return err
		}
	} else if _, err := fmt.Println(token); err != nil {
		return err
	}
	_, err := fmt.Printf("%s = %s\n", c.Name, hex.EncodeToString(sum[:]))
	return err
}
