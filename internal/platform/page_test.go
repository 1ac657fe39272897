package platform_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
)

// Guards against docs/platform.md, the page for those who operate the platform,
// missing a path, a status or a kind of order.
func TestDocumentationNamesTheInterfaces(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/platform.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range []string{
		platform.PathLogAppend, platform.PathLogRead, platform.PathHosts, platform.PathEngineStatus, platform.PathEngineOrders,
		string(platform.StreamConfig), string(platform.OrderLoad), string(platform.OrderUnload), string(platform.OrderLoadAdapter),
		string(platform.OrderUnloadAdapter), string(platform.OrderRole), string(platform.HostLive), string(platform.HostLeaving),
		"410", "409", "507",
	} {
		g.Expect(string(page)).To(ContainSubstring(name))
	}
}
