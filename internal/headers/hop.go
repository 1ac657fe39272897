// Package headers handles HTTP headers of relayed messages.
package headers

import (
	"net/http"
	"strings"
)

// hop lists the headers that concern one connection (RFC 9110, section 7.6.1),
// and Expect, which a relay has answered itself.
var hop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that a relay must not pass on, those that
// Connection names included.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		h.Del(name)
	}
}
