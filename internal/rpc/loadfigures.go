package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// KindDemand is what the callers of a gateway bring of one kind of request: those of a
// service, or of a model of it.
type KindDemand struct {
	Service state.ServiceName `json:"s"`
	Model   state.ModelName   `json:"m,omitempty"`
	// Rate is the recent number of requests per second.
	Rate float64 `json:"n"`
	// Work is the mean time in seconds for which a request recently occupied an upstream;
	// zero if none has ended.
	Work float64 `json:"k,omitempty"`
	// Open counts the requests that have not ended.
	Open int `json:"o,omitempty"`
	// Lacking is how many slots the callers of the gateway's data centre need beyond those
	// that it has, if a load of the model there pays.
	Lacking float64 `json:"l,omitempty"`
}

// KindLoad is the demand of each data centre for one kind of request.
type KindLoad struct {
	Service state.ServiceName `json:"s"`
	Model   state.ModelName   `json:"m,omitempty"`
	// Work is the least mean time in seconds for which a request occupies an upstream, of
	// all data centres.
	Work float64 `json:"k"`
	// From has the demand of the callers of each data centre that has any.
	From map[state.DataCentre]DataCentreDemand `json:"f"`
}

// DataCentreDemand is the demand of the callers of one data centre.
type DataCentreDemand struct {
	Rate float64 `json:"n"`
	Open int     `json:"o,omitempty"`
}

// DataCentreLoads are the kinds of request with the most work.
type DataCentreLoads struct {
	Revision uint64 `json:"revision"`
	// Age is the time since the loads were added up.
	Age   state.Duration `json:"age"`
	Kinds []KindLoad     `json:"kinds,omitempty"`
	// Silent lists the data centres whose gateways reported lately and don't any more.
	Silent []state.DataCentre `json:"silent,omitempty"`
}
