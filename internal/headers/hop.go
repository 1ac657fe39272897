// Package headers handles the HTTP headers of messages that are forwarded.
package headers

import (
	"net/http"
	"strings"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1), and Expect, which
// the relay has answered itself.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that a relay must not forward, including
// those that the Connection header names.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
