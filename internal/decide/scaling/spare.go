package scaling

import "math"

// SpareKind says whether a wake is for a spare replica: a further one of a model
// in steady use, so that not all of its replicas are stragglers.
type SpareKind uint8

const (
	// NotSpare is a load that waiting work or demand asks for.
	NotSpare SpareKind = iota
	// SpareMustShare is a load that evicts nothing, on an accelerator that holds
	// other models anyway.
	SpareMustShare
	// SpareAnyAccelerator is a load that evicts nothing.
	SpareAnyAccelerator
)

const (
	// stragglerDelay is the time by which a request is late on average while
	// all replicas of its model are on upstreams that straggle at times: 6 s,
	// for 5 min of an hour.
	stragglerDelay = 0.5
	// stragglerShare is the share of the upstreams that straggle together. With
	// each further replica, so many fewer models have none that is spared.
	stragglerShare = 0.1
	// besideShare is the part of an accelerator's cost that a spare beside
	// other models is charged: it takes memory, but no accelerator.
	besideShare = 0.05
	// minSteady is the least rate of a model in steady use. A session of a few
	// requests is over before a spare pays.
	minSteady = 0.1
)

// spare proposes a further replica where the loss to be expected because all
// present ones are stragglers costs more than the accelerator time.
func (c HomeConfig) spare(in HomeInput, view outlook) (Wake, bool) {
	if view.ready == 0 || view.loading > 0 || in.Steady < minSteady {
		return Wake{}, false
	}
	gain := c.TailWeight * stragglerDelay * math.Pow(stragglerShare, float64(view.ready)) * in.Steady
	if gain < c.IdleWeight*besideShare {
		return Wake{}, false
	}
	order := wakeOrder(in)
	for _, grant := range order {
		if !grant.SpareRefused {
			return Wake{Upstream: grant.Upstream, ReadyIn: grant.LoadTime, Spare: SpareMustShare}, true
		}
	}
	if len(order) == 0 || gain < c.IdleWeight {
		return Wake{}, false
	}
	return Wake{Upstream: order[0].Upstream, ReadyIn: order[0].LoadTime, Spare: SpareAnyAccelerator}, true
}
