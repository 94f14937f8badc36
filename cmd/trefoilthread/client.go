package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/io/opspb"
)

const (
	// callTimeout is above the 5 s that a daemon waits for a change to be in
	// force.
	callTimeout = 15 * time.Second
	// With maxCalls and doubled pauses, a call is repeated for about 1.4 s
	// plus the time of its answers. A longer failure is left to the operator.
	maxCalls   = 4
	firstPause = 200 * time.Millisecond
)

// client has the flags that all commands of operators share.
type client struct {
	Address   string `required:"" placeholder:"ADDR" env:"TREFOILTHREAD_ADDRESS" help:"Local listener of a daemon, IP:port or a URL."`
	TokenFile string `required:"" placeholder:"FILE" env:"TREFOILTHREAD_TOKEN_FILE" type:"path" help:"File with the operator's token, or with lines NAME = TOKEN."`
	Operator  string `placeholder:"NAME" env:"TREFOILTHREAD_OPERATOR" help:"Operator whose token is taken from a file with names."`
	JSON      bool   `name:"json" help:"Print JSON."`
}

// open returns the services in files and a client of the operators' calls.
func (c *client) open(files []string) ([]config.Service, opspb.OpsClient, error) {
	services, err := readServices(files)
	if err != nil {
		return nil, nil, err
	}
	ops, err := c.ops()
	return services, ops, err
}

// ops returns a client of the operators' calls. The token is in each request's
// header and nowhere else.
func (c *client) ops() (opspb.OpsClient, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	base, err := baseURL(c.Address)
	if err != nil {
		return nil, err
	}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	})
	hc := &http.Client{
		Timeout: callTimeout,
		// A redirect could take the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return opspb.NewOpsClient(hc, base, connect.WithInterceptors(authorize)), nil
}

// baseURL returns the URL of an address. Without TLS only addresses of this
// host are allowed, because the token is sent as it is.
func baseURL(address string) (string, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errors.Newf("address %q is neither IP:port nor an http:// or https:// URL", address)
	}
	if u.Scheme == "http" && !isLoopback(u.Hostname()) {
		return "", errors.Newf("address %s is on another host and has no TLS: the token could be read on the way; use a tunnel to the local listener", u.Host)
	}
	return strings.TrimSuffix(u.String(), "/"), nil
}

func isLoopback(host string) bool {
	a, err := netip.ParseAddr(host)
	return host == "localhost" || (err == nil && a.IsLoopback())
}

// token reads the token file. No error shows any of its content.
func (c *client) token() (string, error) {
	data, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return "", errors.Wrap(err, "token file")
	}
	found := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, token, named := strings.Cut(line, "=")
		switch {
		case !named:
			token = line
		case strings.TrimSpace(name) != c.Operator:
			continue
		}
		if found != "" {
			return "", errors.Newf("token file %s has more than one token for this operator", c.TokenFile)
		}
		found = strings.TrimSpace(token)
	}
	if found == "" {
		return "", errors.Newf("token file %s has no token for operator %q", c.TokenFile, c.Operator)
	}
	return found, nil
}

// send makes a call and repeats it while its answer is lost. A change carries
// its request id in msg, so a repetition that arrives after the first one took
// effect returns the first result.
func send[Req, Res any](call func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), msg *Req) (*Res, error) {
	pause := firstPause
	for i := 1; ; i++ {
		res, err := call(context.Background(), connect.NewRequest(msg))
		if err == nil {
			return res.Msg, nil
		}
		if i == maxCalls || !isLost(err) {
			return nil, explain(err)
		}
		time.Sleep(pause)
		pause *= 2
	}
}

// isLost reports whether the call may have taken effect, or may do so later.
func isLost(err error) bool { return isLostCode(connect.CodeOf(err)) }

func isLostCode(c connect.Code) bool {
	return c == connect.CodeUnavailable || c == connect.CodeDeadlineExceeded || c == connect.CodeUnknown
}

// explain adds to an error what the operator can do.
func explain(err error) error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err
	}
	hint := ""
	var op *net.OpError
	switch ce.Code() {
	case connect.CodeUnauthenticated:
		hint = "; compare the SHA-256 of the token with [operators] in the daemon's settings"
	case connect.CodeAborted:
		hint = "; read it with config get and make the change again"
	case connect.CodeUnavailable:
		hint = "; the daemon cannot reach the store, run the command again"
		if errors.As(err, &op) {
			hint = "; no daemon has its local listener there"
		}
	}
	return &refusal{code: ce.Code(), text: ce.Message() + hint}
}

// refusal is the error of a call that was answered, or not, as told by code.
type refusal struct {
	code connect.Code
	text string
}

// Error implements error.
func (r *refusal) Error() string { return r.text }
