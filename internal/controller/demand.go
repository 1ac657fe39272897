package controller

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// reportTTL is how long a gateway's report stays valid after the gateway's last
// request.
const reportTTL = 3 * time.Second

// demandTable holds the demand that the gateways report.
type demandTable struct {
	gateways map[string]*gatewayReport
	// peersRevision counts the changes to the set of gateways and their
	// addresses.
	peersRevision uint64
	// unservedSince is when requests for a target were first seen waiting, for the
	// targets for which some wait now.
	unservedSince map[fleet.Target]time.Time
}

type gatewayReport struct {
	lastReport time.Time
	peer       rpc.GatewayPeer
	targets    []rpc.TargetDemand
	// kinds is set by gateways with spillover.
	kinds []rpc.KindDemand
}

func newDemandTable() *demandTable {
	return &demandTable{gateways: make(map[string]*gatewayReport), unservedSince: make(map[fleet.Target]time.Time)}
}

func (t *demandTable) touch(gateway string, now time.Time) *gatewayReport {
	g, ok := t.gateways[gateway]
	if !ok {
		g = &gatewayReport{}
		t.gateways[gateway] = g
		t.peersRevision++
	}
	g.lastReport = now
	return g
}

// recordPeer records the address that a gateway gives with a request for
// residency.
func (t *demandTable) recordPeer(gateway string, peer rpc.GatewayPeer, now time.Time) {
	g := t.touch(gateway, now)
	if g.peer != peer {
		g.peer = peer
		t.peersRevision++
	}
}

// peers returns the gateways that receive notices.
func (t *demandTable) peers() []rpc.GatewayPeer {
	var list []rpc.GatewayPeer
	for _, g := range t.gateways {
		if g.peer.NoticeAddress != "" {
			list = append(list, g.peer)
		}
	}
	return list
}

func (t *demandTable) recordDemand(params rpc.WantedParams, now time.Time) {
	g := t.touch(params.Gateway, now)
	g.targets, g.kinds = params.Targets, params.Kinds
}

// current returns the total demand for each target. It drops gateways that have
// sent nothing for reportTTL.
func (t *demandTable) current(now time.Time) map[fleet.Target]residency.Demand {
	all := make(map[fleet.Target]residency.Demand)
	for name, g := range t.gateways {
		if now.Sub(g.lastReport) > reportTTL {
			delete(t.gateways, name)
			t.peersRevision++
			continue
		}
		for _, d := range g.targets {
			addDemand(all, fleet.Target{Model: d.Model}, d)
			if d.Adapter != "" {
				addDemand(all, fleet.Target{Model: d.Model, Adapter: d.Adapter}, d)
			}
		}
	}
	t.measureUnserved(all, now)
	return all
}

// measureUnserved sets for how long requests have waited for each target.
func (t *demandTable) measureUnserved(all map[fleet.Target]residency.Demand, now time.Time) {
	for target := range t.unservedSince {
		if all[target].Waiting == 0 {
			delete(t.unservedSince, target)
		}
	}
	for target, d := range all {
		if d.Waiting == 0 {
			continue
		}
		since, ok := t.unservedSince[target]
		if !ok {
			since = now
			t.unservedSince[target] = now
		}
		d.Unserved = now.Sub(since)
		all[target] = d
	}
}

func addDemand(all map[fleet.Target]residency.Demand, target fleet.Target, d rpc.TargetDemand) {
	sum := all[target]
	sum.Waiting += d.Waiting
	sum.Running += d.Running
	sum.Rate += d.Rate
	sum.Work += d.Work
	all[target] = sum
}
