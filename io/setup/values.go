package setup

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type timeDuration = time.Duration

// errValue says that a value is not among those that the key allows.
var errValue = errors.New("value not allowed")

// setter stores a checked value in s, or returns errValue.
type setter = func(s *Settings, v string) error

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./"

func text(put func(*Settings, string)) setter {
	return func(s *Settings, v string) error {
		if v == "" || len(v) > 255 || strings.Trim(v, nameChars) != "" {
			return errValue
		}
		put(s, v)
		return nil
	}
}

func oneOf(allowed []string, put func(*Settings, string)) setter {
	return func(s *Settings, v string) error {
		if !slices.Contains(allowed, v) {
			return errValue
		}
		put(s, v)
		return nil
	}
}

// duration takes bounds in seconds.
func duration(lo, hi float64, field func(*Settings) *time.Duration) setter {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d.Seconds() < lo || d.Seconds() > hi {
			return errValue
		}
		*field(s) = d
		return nil
	}
}

func integer(lo, hi int, field func(*Settings) *int) setter {
	return func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < lo || n > hi {
			return errValue
		}
		*field(s) = n
		return nil
	}
}

func number(lo, hi float64, field func(*Settings) *float64) setter {
	return func(s *Settings, v string) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= lo && x <= hi) {
			return errValue
		}
		*field(s) = x
		return nil
	}
}

func address(field func(*Settings) *string) setter {
	return func(s *Settings, v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errValue
		}
		*field(s) = v
		return nil
	}
}

func endpoints(s *Settings, v string) error {
	for _, e := range strings.Split(v, ",") {
		e = strings.TrimSpace(e)
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return errValue
		}
		s.storeEndpoints = append(s.storeEndpoints, e)
	}
	return nil
}

// tokenHash reads a SHA-256 in hexadecimal.
func tokenHash(v string) ([32]byte, error) {
	var h [32]byte
	p, err := hex.DecodeString(v)
	if err != nil || len(p) != len(h) {
		return h, errValue
	}
	copy(h[:], p)
	return h, nil
}
