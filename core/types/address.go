package types

import (
	"net/netip"
	"strconv"
	"strings"
)

// IsAddress reports whether s is a host, by name or IP number, and a port that can be
// connected to.
func IsAddress(s string) bool {
	if a, err := netip.ParseAddrPort(s); err == nil {
		return a.Port() > 0
	}
	host, port, ok := strings.Cut(s, ":")
	n, err := strconv.ParseUint(port, 10, 16)
	return ok && err == nil && n > 0 && host != "" && !strings.ContainsAny(host, " /[]")
}
