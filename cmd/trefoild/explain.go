package main

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/platform"
)

type explainCmd struct {
	At        string   `required:"" placeholder:"IP:PORT" help:"Metrics address of the daemon to ask."`
	Host      string   `required:"" help:"Virtual host of the request."`
	Path      string   `required:"" help:"Path of the request."`
	Method    string   `default:"GET" help:"Method of the request."`
	Header    []string `sep:"none" placeholder:"NAME: VALUE" help:"Header field of the request, without API keys; may be repeated."`
	Customer  string   `help:"Customer that sends the request, in place of its API key."`
	BodyBytes int      `help:"Length of the body in bytes."`
	JSON      bool     `name:"json" help:"Print JSON."`
}

const (
	// explainTime bounds the wait for the answer of the daemon.
	explainTime = 5 * time.Second
	// maxExplanation bounds the answer in bytes.
	maxExplanation = 4 << 20
)

// Run asks a daemon where a request would go, and prints the answer.
func (c *explainCmd) Run() error {
	req, err := c.request()
	if err != nil {
		return err
	}
	x, err := askExplanation(c.At, req)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(x)
	}
	_, err = os.Stdout.WriteString(explainText(x))
	return err
}

// request returns the request for the daemon. Errors don't repeat the values of headers,
// which may be keys.
func (c *explainCmd) request() (*agent.ExplainRequest, error) {
	switch {
	case !types.IsAddress(c.At):
		return nil, errors.Newf("--at %s: allowed: IP:port", c.At)
	case !strings.HasPrefix(c.Path, "/"):
		return nil, errors.Newf("--path %s: must begin with a slash", c.Path)
	case c.BodyBytes < 0:
		return nil, errors.New("--body-bytes: must not be negative")
	}
	req := &agent.ExplainRequest{Method: c.Method, Host: c.Host, Path: c.Path, Customer: c.Customer, BodyBytes: c.BodyBytes}
	var hdr httpw.Header
	for i, field := range c.Header {
		name, value, ok := strings.Cut(field, ":")
		if name = strings.TrimSpace(name); !ok || name == "" {
			return nil, errors.Newf("--header number %d: allowed: 'Name: value'", i+1)
		}
		hdr.Add(name, strings.TrimSpace(value))
		req.Headers = append(req.Headers, agent.ExplainHeader{Name: name, Value: strings.TrimSpace(value)})
	}
	if len(platform.Wire().WithoutKey(hdr)) != len(hdr) {
		return nil, errors.New("--header: API keys and customers aren't accepted, use --customer")
	}
	return req, nil
}

// askExplanation asks the daemon with a metrics address.
func askExplanation(addr string, req *agent.ExplainRequest) (*agent.Explanation, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	// No proxy: the daemon's address is one of this network.
	client := http.Client{Timeout: explainTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+addr+agent.ExplainPath, "application/json", bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "daemon not reached")
	}
	defer func() { _ = resp.Body.Close() }()
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind != "application/json" {
		return nil, errors.Newf("daemon at %s has no explanations (status %d): it is of an older version, or this isn't its metrics address", addr, resp.StatusCode)
	}
	body := json.NewDecoder(io.LimitReader(resp.Body, maxExplanation))
	if resp.StatusCode != http.StatusOK {
		var e agent.ExplainError
		if err := body.Decode(&e); err != nil {
			return nil, errors.Wrapf(err, "daemon at %s: status %d", addr, resp.StatusCode)
		}
		return nil, errors.Newf("daemon at %s: %s", addr, e.Error)
	}
	var x agent.Explanation
	if err := body.Decode(&x); err != nil {
		return nil, errors.Wrapf(err, "answer of the daemon at %s", addr)
	}
	return &x, nil
}
