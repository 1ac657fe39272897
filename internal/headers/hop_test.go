package headers_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/headers"
)

// Guards against a relay that passes on what concerns one connection only.
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
