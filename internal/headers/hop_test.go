package headers_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/headers"
)

// Guards against forwarding headers that concern only one connection, be it by
// their name or because the Connection header names them.
func TestRemoveHop(t *testing.T) {
	h := http.Header{
		"Connection":   {"close, X-Private", "x-other"},
		"X-Private":    {"1"},
		"X-Other":      {"1"},
		"Te":           {"trailers"},
		"Content-Type": {"text/plain"},
	}
	headers.RemoveHopByHop(h)
	NewWithT(t).Expect(h).To(Equal(http.Header{"Content-Type": {"text/plain"}}))
}
