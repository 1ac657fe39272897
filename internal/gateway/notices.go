package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// minNotice is the least work that other gateways are told of. Less hardly
// delays another request.
const minNotice = 20 * time.Millisecond

// tell tells the other gateways of a prompt that is sent to an upstream.
func (g *Gateway) tell(m *member, p prompt, work time.Duration) {
	if g.opts.Notices == nil || work < minNotice {
		return
	}
	g.opts.Notices.NotifySent(notices.SentNotice{
		Upstream: m.upstream.Name, Started: m.upstream.Started.UnixMilli(), ExpectedPrefill: state.Duration(work), Parts: p.shared(),
	})
}

// noticed takes the word of another gateway.
func (g *Gateway) noticed(n notices.SentNotice) {
	m, ok := g.view.Load().byName[n.Upstream]
	if !ok || m.upstream.Started.UnixMilli() != n.Started {
		return
	}
	m.load.sentByOther(n.ExpectedPrefill.Std(), time.Now())
	g.prompts.sent(m.load.index, n.Parts)
}

// announced takes the word of another process that it is the controller.
func (g *Gateway) announced(n notices.ControllerNotice) {
	g.opts.Controller.ObserveAnnouncement(controller.Leader{Holder: n.Holder, Control: n.Control}, n.LeaseOffset)
}

// setPeers sets the gateways that are told, the nearest first: they use the
// same upstreams.
func (g *Gateway) setPeers(peers []rpc.GatewayPeer) {
	if g.opts.Notices == nil {
		return
	}
	distance := func(p rpc.GatewayPeer) routing.Locality {
		return localityOf(p.DataCentre, g.opts.DataCentre, g.opts.RegionOf)
	}
	peers = slices.SortedFunc(slices.Values(peers), func(a, b rpc.GatewayPeer) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.NoticeAddress, b.NoticeAddress))
	})
	addresses := make([]string, 0, len(peers))
	for _, p := range peers {
		if p.NoticeAddress != g.opts.NoticeAddress {
			addresses = append(addresses, p.NoticeAddress)
		}
	}
	g.opts.Notices.SetPeers(addresses)
}
