package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// Methods that gateways serve. Only the elected controller answers them.
const (
	MethodResidency = "controller.residency"
	MethodWanted    = "controller.wanted"
)

// TargetDemand is what a gateway's callers want of a model or an adapter.
type TargetDemand struct {
	Model   state.ModelName   `json:"m"`
	Adapter state.AdapterName `json:"a,omitempty"`
	// Waiting requests have no upstream that holds the target.
	Waiting int `json:"w,omitempty"`
	// Running requests have been sent to an upstream.
	Running int `json:"r,omitempty"`
	// Rate is the recent rate of requests per second.
	Rate float64 `json:"n,omitempty"`
}

// WantedParams tells the controller what a gateway's callers want. It replaces
// the gateway's report before.
type WantedParams struct {
	Gateway string         `json:"gateway"`
	Targets []TargetDemand `json:"targets"`
}

// WantedResult answers WantedParams.
type WantedResult struct{}

// GatewayPeer is a gateway that takes notices from others.
type GatewayPeer struct {
	// NoticeAddress is the address for datagrams; empty if it takes none.
	NoticeAddress string           `json:"notices,omitempty"`
	DataCentre    state.DataCentre `json:"dataCentre,omitempty"`
}

// ResidencyParams asks what the upstreams hold.
type ResidencyParams struct {
	Gateway string `json:"gateway"`
	// Peer is how other gateways reach the asker.
	Peer GatewayPeer `json:"peer"`
	// PeersRevision is the revision of the list of peers that the asker has.
	PeersRevision uint64 `json:"peers,omitempty"`
	// Term and Revision are those of the answer before; zero for all.
	Term     state.FencingToken `json:"term,omitempty"`
	Revision uint64             `json:"revision,omitempty"`
	// StoreAge is the time since the asker last read from the platform's store.
	StoreAge state.Duration `json:"storeAge,omitempty"`
	// Promised is the time of the answer by which the asker was asked to leave
	// the lease alone, if it does; zero otherwise.
	Promised int64 `json:"promised,omitempty"`
	// Wait is how long to wait for a change.
	Wait state.Duration `json:"wait,omitempty"`
}

// HeldReplica is a model that an upstream holds.
type HeldReplica struct {
	Model    state.ModelName     `json:"m"`
	Adapters []state.AdapterName `json:"a,omitempty"`
}

// UpstreamResidency is an upstream as the controller knows it: what the registry
// says of it, and what it holds and serves now.
type UpstreamResidency struct {
	Upstream state.UpstreamName `json:"u"`
	// Gone says that the registry lists it no more. The rest is empty then.
	Gone bool `json:"gone,omitempty"`
	// Started is the Unix millisecond of the upstream's start, and Report
	// numbers what it has said since.
	Started    int64             `json:"s"`
	Report     uint64            `json:"n,omitempty"`
	Service    state.ServiceName `json:"service,omitempty"`
	Address    string            `json:"addr,omitempty"`
	DataCentre state.DataCentre  `json:"dc,omitempty"`
	Slots      int               `json:"slots,omitempty"`
	Draining   bool              `json:"draining,omitempty"`
	// Known says that Replicas is the controller's word; otherwise it is the
	// upstream's own in the registry.
	Known    bool          `json:"k,omitempty"`
	Replicas []HeldReplica `json:"r,omitempty"`
	// InMemory and OnDisk list models whose weights the upstream's host keeps.
	InMemory []state.ModelName `json:"m,omitempty"`
	OnDisk   []state.ModelName `json:"d,omitempty"`
}

// ResidencyResult answers ResidencyParams with the upstreams that have changed
// since Revision.
type ResidencyResult struct {
	// Holder is the name under which the process holds the lease or would. It
	// changes with each start and whenever the process gives up a lease that
	// its record does not show as given up.
	Holder string `json:"holder"`
	// Term is zero, and the rest empty, if the process is not the controller.
	Term     state.FencingToken `json:"term"`
	Revision uint64             `json:"revision"`
	// Unrenewed is the time of this answer, by a clock of the controller's own,
	// if it can't renew its lease and asks to leave it alone; zero otherwise.
	Unrenewed int64 `json:"unrenewed,omitempty"`
	// LeaseOffset is the offset of the controller's newest lease record.
	LeaseOffset state.Offset `json:"lease"`
	Gateways    int          `json:"gateways"`
	// RegistryAge is the time since the controller last read the registry.
	RegistryAge state.Duration `json:"registryAge"`
	// Manifest is the version of the manifest that the controller knows, and
	// ManifestAge the time since it last read for one.
	Manifest    uint64         `json:"manifest"`
	ManifestAge state.Duration `json:"manifestAge"`
	// PeersRevision numbers the list of gateways, and Peers is that list if the
	// asker has another one.
	PeersRevision uint64              `json:"peersRevision"`
	Peers         []GatewayPeer       `json:"peers,omitempty"`
	Upstreams     []UpstreamResidency `json:"upstreams,omitempty"`
}
