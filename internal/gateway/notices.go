package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// minNotice is the minimum work that is reported to other gateways. Less hardly
// delays another request.
const minNotice = 20 * time.Millisecond

// notifyGateways reports to the other gateways that a prompt is sent to an
// upstream.
func (g *Gateway) notifyGateways(m *member, p prompt, work time.Duration) {
	if g.opts.Notices == nil {
		return
	}
	n := notices.SentNotice{Upstream: m.upstream.Name, Started: m.upstream.Started.UnixMilli()}
	memoryDue := g.addHeldMemory(m, &n, work >= minNotice)
	if work >= minNotice {
		n.ExpectedPrefill, n.Parts = state.Duration(work), p.sharedParts()
	} else if !memoryDue {
		return
	}
	g.opts.Notices.NotifySent(n)
}

// handleSent processes another gateway's notice of a prompt sent to an upstream. A
// notice about an earlier start of the upstream is ignored.
func (g *Gateway) handleSent(n notices.SentNotice) {
	m, ok := g.view.Load().byName[n.Upstream]
	if !ok || m.upstream.Started.UnixMilli() != n.Started {
		return
	}
	m.stats.addOthersWork(n.ExpectedPrefill.Std(), time.Now())
	g.sentPrompts.record(m.stats.index, n.Parts)
	g.observeHeldMemory(m, n)
}

// handleAnnouncement processes another process's announcement that it is the
// controller.
func (g *Gateway) handleAnnouncement(n notices.ControllerNotice) {
	g.opts.Controller.ObserveAnnouncement(controller.Leader{Holder: n.Holder, Control: n.Control}, fleet.LogPosition{Epoch: fleet.LogEpoch(n.LeaseEpoch), Offset: n.LeaseOffset})
}

// setPeers sets the gateways that receive notices, the nearest first: they use the
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
