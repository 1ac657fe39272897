package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// Methods that gateways serve. Only the gateway elected as controller answers them
// in full.
const (
	MethodResidency = "controller.residency"
	MethodWanted    = "controller.wanted"
	MethodCrashes   = "controller.crashes"
	MethodAnswers   = "controller.answers"
	MethodPermit    = "controller.permit"
	MethodQuota     = "controller.quota"
)

// TargetDemand is the demand of a gateway's callers for a model or an adapter.
type TargetDemand struct {
	Model   state.ModelName   `json:"m"`
	Adapter state.AdapterName `json:"a,omitempty"`
	// Waiting counts the requests for which no upstream holds the target.
	Waiting int `json:"w,omitempty"`
	// Running counts the requests that have been sent to an upstream.
	Running int `json:"r,omitempty"`
	// Rate is the recent number of requests per second.
	Rate float64 `json:"n,omitempty"`
	// Work is the recent engine time per second that prompts needed.
	Work float64 `json:"k,omitempty"`
}

// WantedParams reports the demand of a gateway's callers to the controller. It
// replaces the gateway's previous report.
type WantedParams struct {
	Gateway string         `json:"gateway"`
	Targets []TargetDemand `json:"targets"`
	// Kinds is reported by gateways with spillover only.
	Kinds []KindDemand `json:"kinds,omitempty"`
}

// WantedResult answers WantedParams.
type WantedResult struct{}

// GatewayPeer is how a gateway is known to the other gateways, which send it
// notices.
type GatewayPeer struct {
	// NoticeAddress is the address at which the gateway receives notices as
	// datagrams; empty if it receives none.
	NoticeAddress string           `json:"notices,omitempty"`
	DataCentre    state.DataCentre `json:"dataCentre,omitempty"`
}

// ResidencyParams requests from the controller the models that each upstream
// holds. The controller answers once that has changed, or after Wait.
type ResidencyParams struct {
	Gateway string `json:"gateway"`
	// Peer is how other gateways reach the sender.
	Peer GatewayPeer `json:"peer"`
	// PeersRevision is the revision of the list of peers that the sender has.
	PeersRevision uint64 `json:"peers,omitempty"`
	// QuarantineRevision is the revision of the quarantines that the sender has.
	QuarantineRevision uint64 `json:"quarantine,omitempty"`
	// Term and Revision are those of the previous result; zero requests all
	// upstreams.
	Term     state.FencingToken `json:"term,omitempty"`
	Revision uint64             `json:"revision,omitempty"`
	// StoreAge is the time since the sender last read from the platform's store.
	StoreAge state.Duration `json:"storeAge,omitempty"`
	// Promised is the Unrenewed time of the result that requested that the
	// sender not take the lease, if the sender promises that; zero otherwise.
	Promised int64 `json:"promised,omitempty"`
	// Wait is how long the controller may wait for a change.
	Wait state.Duration `json:"wait,omitempty"`
	// Unpacks says that the sender accepts ResidencyResult.Packed.
	Unpacks bool `json:"unpacks,omitempty"`
	// Loads requests the loads of data centres, of which the sender has LoadsRevision.
	Loads         bool   `json:"loads,omitempty"`
	LoadsRevision uint64 `json:"loadsRevision,omitempty"`
}

// HeldReplica is a model that an upstream holds.
type HeldReplica struct {
	Model    state.ModelName     `json:"m"`
	Adapters []state.AdapterName `json:"a,omitempty"`
}

// UpstreamResidency is the controller's view of an upstream: its entry in the
// registry, and the models that it holds and serves now.
type UpstreamResidency struct {
	Upstream state.UpstreamName `json:"u"`
	// Gone says that the registry no longer lists the upstream. The fields below
	// are empty then.
	Gone bool `json:"gone,omitempty"`
	// Started is the time of the upstream's start in Unix milliseconds, and
	// Report the number of its latest report since then.
	Started    int64             `json:"s"`
	Report     uint64            `json:"n,omitempty"`
	Service    state.ServiceName `json:"service,omitempty"`
	Address    string            `json:"addr,omitempty"`
	DataCentre state.DataCentre  `json:"dc,omitempty"`
	Slots      int               `json:"slots,omitempty"`
	Draining   bool              `json:"draining,omitempty"`
	// Known says that Replicas, InMemory and OnDisk come from the controller's
	// own exchange with the upstream; otherwise they come from the upstream's
	// entry in the registry.
	Known    bool          `json:"k,omitempty"`
	Replicas []HeldReplica `json:"r,omitempty"`
	// InMemory and OnDisk list the models whose weights the upstream's host
	// keeps in memory and on disk.
	InMemory []state.ModelName `json:"m,omitempty"`
	OnDisk   []state.ModelName `json:"d,omitempty"`
	// Limited and PerSecond are the rate limit that the upstream names.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"ps,omitempty"`
	// Leaving says that the upstream has said in an answer that it leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// ResidencyResult answers ResidencyParams with the upstreams that have changed
// since Revision.
type ResidencyResult struct {
	// Holder is the name under which the answering process holds the lease or
	// would take it. It changes with each start, and whenever the process gives
	// up a lease without writing that to the lease record.
	Holder string `json:"holder"`
	// Term is zero, and the fields below are empty, if the process is not the
	// controller.
	Term     state.FencingToken `json:"term"`
	Revision uint64             `json:"revision"`
	// Unrenewed is set while the controller can't renew its lease: it requests
	// that the receiver promise, in ResidencyParams.Promised, not to take the
	// lease. It is the time of this result by the controller's clock, and zero
	// if no promise is requested.
	Unrenewed int64 `json:"unrenewed,omitempty"`
	// LeaseOffset is the offset of the controller's newest lease record.
	LeaseOffset state.Offset `json:"lease"`
	// LeaseEpoch is the epoch of the log in which LeaseOffset is valid.
	LeaseEpoch uint64 `json:"leaseEpoch,omitempty"`
	Gateways   int    `json:"gateways"`
	// RegistryAge is the time since the controller last read the registry.
	RegistryAge state.Duration `json:"registryAge"`
	// Manifest is the version of the manifest that the controller holds, and
	// ManifestAge the time since it last looked for a newer one.
	Manifest    uint64         `json:"manifest"`
	ManifestAge state.Duration `json:"manifestAge"`
	// ManifestConfirmedAge is the time since Manifest was certainly the newest one,
	// including the time for which the controller's host was suspended; nil if that is not
	// known.
	ManifestConfirmedAge *state.Duration `json:"manifestConfirmed,omitempty"`
	// PeersRevision is the revision of the list of gateways. Peers is that list
	// if the receiver has another revision.
	PeersRevision uint64              `json:"peersRevision"`
	Peers         []GatewayPeer       `json:"peers,omitempty"`
	Upstreams     []UpstreamResidency `json:"upstreams,omitempty"`
	// Packed has many entries in place of Upstreams, compressed: the controller packs them
	// once for all gateways. Unpack reads them.
	Packed []byte `json:"packed,omitempty"`
	// QuarantineRevision is the revision of Quarantined and Suspects, which are
	// set if the receiver has another one. Suspects are keys of requests that
	// were running in crashed upstreams: the receiver reports the sound ones.
	QuarantineRevision uint64           `json:"quarantineRevision,omitempty"`
	Quarantined        []QuarantinedKey `json:"quarantined,omitempty"`
	Suspects           []uint64         `json:"suspects,omitempty"`
	// Loads is set if the receiver requests it and has another revision.
	Loads *DataCentreLoads `json:"loads,omitempty"`
}
