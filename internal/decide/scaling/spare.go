package scaling

import "math"

// SpareKind distinguishes loads of spare replicas: an additional replica of
// a model in steady use, which reduces the risk that all of the model's replicas
// are stragglers.
type SpareKind uint8

const (
	// NotSpare is a load that demand or the minimum of replicas requires.
	NotSpare SpareKind = iota
	// SpareMustShare is a load of a spare replica that evicts nothing and must
	// share an accelerator with other loaded models.
	SpareMustShare
	// SpareAnyAccelerator is a load of a spare replica that evicts nothing and
	// may also use an accelerator that holds no other model.
	SpareAnyAccelerator
)

const (
	// meanStragglerDelay is the mean delay of a request in seconds where all
	// replicas of its model are on upstreams that are stragglers at times: 6 s
	// late during 5 min of each hour.
	meanStragglerDelay = 0.5
	// stragglerFraction is the fraction of the upstreams that are stragglers at
	// the same time. Each additional replica multiplies the probability that all
	// replicas of a model are stragglers by it.
	stragglerFraction = 0.1
	// sharedAcceleratorCost is the fraction of an accelerator's cost that a spare
	// replica on a shared accelerator is charged: it takes memory but does not
	// occupy the accelerator.
	sharedAcceleratorCost = 0.05
	// minSteadyRate is the least arrival rate, in requests per second, of a model
	// in steady use. A session of a few requests is over before a spare replica
	// pays off.
	minSteadyRate = 0.1
)

// proposeSpare proposes a spare replica if the delay to be expected from
// requests for which all present replicas are stragglers costs more than the
// accelerator time of another replica.
func (c HomeConfig) proposeSpare(in HomeInput, summary modelSummary) (Wake, bool) {
	if summary.ready == 0 || summary.loading > 0 || in.Steady < minSteadyRate {
		return Wake{}, false
	}
	gain := c.TailWeight * meanStragglerDelay * math.Pow(stragglerFraction, float64(summary.ready)) * in.Steady
	if gain < c.IdleWeight*sharedAcceleratorCost {
		return Wake{}, false
	}
	free := freeGrants(in)
	for _, grant := range free {
		if !grant.SpareRefused {
			return Wake{Upstream: grant.Upstream, ReadyIn: grant.LoadTime, Spare: SpareMustShare}, true
		}
	}
	if len(free) == 0 || gain < c.IdleWeight {
		return Wake{}, false
	}
	return Wake{Upstream: free[0].Upstream, ReadyIn: free[0].LoadTime, Spare: SpareAnyAccelerator}, true
}
