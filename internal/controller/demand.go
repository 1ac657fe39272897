package controller

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

const (
	// reportLife is how long a gateway's report counts.
	reportLife = 3 * time.Second
	// rateWindow is the time constant of the rates of requests.
	rateWindow = 8 * time.Second
	// forgetRate is the rate below which a target is forgotten.
	forgetRate = 1e-3
)

// demandTable holds what the callers of all gateways want.
type demandTable struct {
	gateways map[string]*gatewayReport
	rates    map[fleet.Target]*rate
}

type gatewayReport struct {
	heard   time.Time
	targets []rpc.TargetDemand
}

// rate is an exponentially weighted rate of events per second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(n int, now time.Time) {
	r.decay(now)
	r.perSecond += float64(n) / rateWindow.Seconds()
}

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.perSecond *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		r.at = now
	}
}

func newDemandTable() *demandTable {
	return &demandTable{gateways: make(map[string]*gatewayReport), rates: make(map[fleet.Target]*rate)}
}

func (t *demandTable) heard(gateway string, now time.Time) *gatewayReport {
	g, ok := t.gateways[gateway]
	if !ok {
		g = &gatewayReport{}
		t.gateways[gateway] = g
	}
	g.heard = now
	return g
}

func (t *demandTable) report(params rpc.WantedParams, now time.Time) {
	t.heard(params.Gateway, now).targets = params.Targets
	for _, d := range params.Targets {
		t.arrived(fleet.Target{Model: d.Model}, d.Arrived, now)
		if d.Adapter != "" {
			t.arrived(fleet.Target{Model: d.Model, Adapter: d.Adapter}, d.Arrived, now)
		}
	}
}

func (t *demandTable) arrived(target fleet.Target, n int, now time.Time) {
	r, ok := t.rates[target]
	if !ok {
		r = &rate{at: now}
		t.rates[target] = r
	}
	r.add(n, now)
}

// current returns the demand of all targets and drops what is old.
func (t *demandTable) current(now time.Time) map[fleet.Target]residency.Demand {
	all := make(map[fleet.Target]residency.Demand, len(t.rates))
	for target, r := range t.rates {
		r.decay(now)
		if r.perSecond < forgetRate {
			delete(t.rates, target)
			continue
		}
		all[target] = residency.Demand{Rate: r.perSecond}
	}
	for name, g := range t.gateways {
		if now.Sub(g.heard) > reportLife {
			delete(t.gateways, name)
			continue
		}
		for _, d := range g.targets {
			addGauges(all, fleet.Target{Model: d.Model}, d)
			if d.Adapter != "" {
				addGauges(all, fleet.Target{Model: d.Model, Adapter: d.Adapter}, d)
			}
		}
	}
	return all
}

func addGauges(all map[fleet.Target]residency.Demand, target fleet.Target, d rpc.TargetDemand) {
	sum := all[target]
	sum.Waiting += d.Waiting
	sum.Running += d.Running
	all[target] = sum
}
