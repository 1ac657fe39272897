package loopback

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against two processes that are given the same port, since neither has bound it
// yet: the later one ends with "address already in use".
func TestPortsOfTwoAllocators(t *testing.T) {
	g := NewWithT(t)
	var a, b allocator
	seen := map[string]bool{}
	for range 20 {
		for _, ports := range []*allocator{&a, &b} {
			addr, err := ports.take(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seen).NotTo(HaveKey(addr))
			seen[addr] = true
		}
	}
}
