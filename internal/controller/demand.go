package controller

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// reportLife is how long a gateway's report counts.
const reportLife = 3 * time.Second

// demandTable holds what the callers of all gateways want.
type demandTable struct {
	gateways map[string]*gatewayReport
	// peersRevision counts the changes of the gateways or their addresses.
	peersRevision uint64
}

type gatewayReport struct {
	heard   time.Time
	peer    rpc.GatewayPeer
	targets []rpc.TargetDemand
}

func newDemandTable() *demandTable {
	return &demandTable{gateways: make(map[string]*gatewayReport)}
}

func (t *demandTable) heard(gateway string, now time.Time) *gatewayReport {
	g, ok := t.gateways[gateway]
	if !ok {
		g = &gatewayReport{}
		t.gateways[gateway] = g
		t.peersRevision++
	}
	g.heard = now
	return g
}

// asked notes a question of a gateway, which names its address.
func (t *demandTable) asked(gateway string, peer rpc.GatewayPeer, now time.Time) {
	g := t.heard(gateway, now)
	if g.peer != peer {
		g.peer = peer
		t.peersRevision++
	}
}

// peers returns the addresses of the gateways that take notices.
func (t *demandTable) peers() []rpc.GatewayPeer {
	var list []rpc.GatewayPeer
	for _, g := range t.gateways {
		if g.peer.NoticeAddress != "" {
			list = append(list, g.peer)
		}
	}
	return list
}

func (t *demandTable) report(params rpc.WantedParams, now time.Time) {
	t.heard(params.Gateway, now).targets = params.Targets
}

// current returns the demand of all targets and drops gateways that are silent.
func (t *demandTable) current(now time.Time) map[fleet.Target]residency.Demand {
	all := make(map[fleet.Target]residency.Demand)
	for name, g := range t.gateways {
		if now.Sub(g.heard) > reportLife {
			delete(t.gateways, name)
			t.peersRevision++
			continue
		}
		for _, d := range g.targets {
			add(all, fleet.Target{Model: d.Model}, d)
			if d.Adapter != "" {
				add(all, fleet.Target{Model: d.Model, Adapter: d.Adapter}, d)
			}
		}
	}
	return all
}

func add(all map[fleet.Target]residency.Demand, target fleet.Target, d rpc.TargetDemand) {
	sum := all[target]
	sum.Waiting += d.Waiting
	sum.Running += d.Running
	sum.Rate += d.Rate
	all[target] = sum
}
