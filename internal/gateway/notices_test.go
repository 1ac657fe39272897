package gateway

import (
	"io"
	"log/slog"
	"net"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a gateway that puts the list of peers in its own order in place:
// that of the controller in the same process is read by its other askers at the
// same time.
func TestPeersOfTheControllerStayAsTheyAre(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	gw := &Gateway{opts: Options{
		DataCentre: "dc1", RegionOf: map[state.DataCentre]state.Region{"dc1": "r1", "dc2": "r2"},
		Notices: notices.New(conn, slog.New(slog.NewTextHandler(io.Discard, nil))),
	}}
	peers := []rpc.GatewayPeer{{NoticeAddress: "10.0.0.2:1", DataCentre: "dc2"}, {NoticeAddress: "10.0.0.1:1", DataCentre: "dc1"}}
	before := slices.Clone(peers)
	gw.setPeers(peers)
	g.Expect(peers).To(Equal(before))
}
