package state

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// quarantineRetention is how long an expired quarantine stays in the tables, so
// that it still holds for readers whose clock is behind the log's.
const quarantineRetention = time.Hour

// RegionTables holds the tables that are derived from a region's stream. It is
// not safe for concurrent use: one goroutine owns it, others read its views.
type RegionTables struct {
	offset    Offset
	lease     LeaseState
	leaseHeld bool
	grants    rows[Offset, Grant]
	// grantsByModel and grantsByUpstream hold slices that are never modified
	// in place, because views share them.
	grantsByModel    rows[ModelName, []Grant]
	grantsByUpstream rows[UpstreamName, []Grant]
	agents           rows[UpstreamName, AgentRegistration]
	intents          rows[UpstreamName, IntentSet]
	quarantine       rows[uint64, Quarantine]
	// upstreamByToken maps the fencing tokens of the latest registrations to
	// their upstreams.
	upstreamByToken map[FencingToken]UpstreamName
	// newestConfig holds, for each model, the highest configuration offset
	// among all grants that took effect, including released ones.
	newestConfig map[ModelName]Offset
	// shared is set while a published view uses the same trees.
	shared bool
}

// NewRegionTables returns empty tables that have applied no record.
func NewRegionTables() *RegionTables {
	offsets := func(a, b Offset) bool { return a < b }
	return &RegionTables{
		offset:           NoOffset,
		grants:           newRows[Offset, Grant](offsets),
		grantsByModel:    newRows[ModelName, []Grant](lessName[ModelName]),
		grantsByUpstream: newRows[UpstreamName, []Grant](lessName[UpstreamName]),
		agents:           newRows[UpstreamName, AgentRegistration](lessName[UpstreamName]),
		intents:          newRows[UpstreamName, IntentSet](lessName[UpstreamName]),
		quarantine:       newRows[uint64, Quarantine](func(a, b uint64) bool { return a < b }),
		upstreamByToken:  map[FencingToken]UpstreamName{},
		newestConfig:     map[ModelName]Offset{},
	}
}

// Offset returns the last applied offset, or NoOffset.
func (r *RegionTables) Offset() Offset { return r.offset }

// View returns an immutable view of the tables.
func (r *RegionTables) View() *RegionView {
	r.shared = true
	return &RegionView{
		offset: r.offset, lease: r.lease, leaseHeld: r.leaseHeld,
		grants: r.grants, grantsByModel: r.grantsByModel, grantsByUpstream: r.grantsByUpstream,
		agents: r.agents, intents: r.intents, quarantine: r.quarantine,
	}
}

// cloneIfShared makes the trees safe to modify: it clones them if a published
// view uses them.
func (r *RegionTables) cloneIfShared() {
	if !r.shared {
		return
	}
	r.grants = r.grants.clone()
	r.grantsByModel = r.grantsByModel.clone()
	r.grantsByUpstream = r.grantsByUpstream.clone()
	r.agents = r.agents.clone()
	r.intents = r.intents.clone()
	r.quarantine = r.quarantine.clone()
	r.shared = false
}

// Apply applies the record p. Records at or below the applied offset are
// ignored. The effect depends only on the records of this stream.
func (r *RegionTables) Apply(p StoredRecord) Outcome {
	if p.Offset <= r.offset {
		return Outcome{Offset: p.Offset}
	}
	r.offset = p.Offset
	switch p.Kind {
	case KindLeaseTake:
		return applyBody(p, r.takeLease)
	case KindLeaseRenew:
		return applyBody(p, r.renewLease)
	case KindGrant:
		return applyBody(p, r.grant)
	case KindRevoke:
		return applyBody(p, r.revoke)
	case KindRelease:
		return applyBody(p, r.release)
	case KindAgentStart:
		return applyBody(p, r.startAgent)
	case KindHostGone:
		return applyBody(p, r.hostGone)
	case KindIntent:
		return applyBody(p, r.intent)
	case KindQuarantine:
		return applyBody(p, r.setQuarantine)
	}
	return Outcome{Offset: p.Offset}
}

// applyBody decodes the body of p and passes it to apply, which returns the
// reason why the record has no effect, or "" if it took effect.
func applyBody[B Body](p StoredRecord, apply func(StoredRecord, B) string) Outcome {
	body, err := DecodeBody[B](p.Record)
	if err != nil {
		return invalid(p, err.Error())
	}
	if reason := apply(p, body); reason != "" {
		return Outcome{Effect: EffectConflict, Offset: p.Offset, Winner: Winner{Offset: NoOffset}, Reasons: []string{reason}}
	}
	return Outcome{Effect: EffectApplied, Offset: p.Offset}
}

func (r *RegionTables) epoch() Epoch {
	if !r.leaseHeld {
		return NoOffset
	}
	return r.lease.Epoch
}

const reasonStaleEpoch = "the epoch is not current"

// isCurrent reports whether e is the epoch in force. Without a lease no epoch
// is in force, not even NoOffset.
func (r *RegionTables) isCurrent(e Epoch) bool { return r.leaseHeld && e == r.lease.Epoch }

func (r *RegionTables) takeLease(p StoredRecord, b LeaseTake) string {
	if b.Replaces != r.epoch() {
		return "the lease to replace is not current"
	}
	r.leaseHeld = true
	r.lease = LeaseState{Epoch: p.Offset, Holder: b.Holder, Writer: p.Writer, RenewedOffset: p.Offset, RenewedAt: p.Time}
	return ""
}

func (r *RegionTables) renewLease(p StoredRecord, b LeaseRenew) string {
	if !r.isCurrent(b.Epoch) {
		return reasonStaleEpoch
	}
	r.lease.RenewedOffset = p.Offset
	r.lease.RenewedAt = p.Time
	return ""
}

func (r *RegionTables) grant(p StoredRecord, b GrantBody) string {
	if !r.isCurrent(b.Epoch) {
		return reasonStaleEpoch
	}
	if highest, ok := r.newestConfig[b.Model]; ok && b.ConfigOffset < highest {
		return "an earlier grant of the model used a newer configuration"
	}
	ofModel, _ := r.grantsByModel.get(b.Model)
	if len(ofModel.value) >= b.Limit {
		return "the model's grants have reached its limit"
	}
	if slices.ContainsFunc(ofModel.value, func(g Grant) bool { return g.Upstream == b.Upstream }) {
		return "the upstream already has a grant of the model"
	}
	r.cloneIfShared()
	r.newestConfig[b.Model] = b.ConfigOffset
	r.putGrant(Grant{ID: p.Offset, ReplicaKey: b.ReplicaKey, Upstream: b.Upstream, Epoch: b.Epoch})
	return ""
}

func (r *RegionTables) revoke(_ StoredRecord, b Revoke) string {
	if !r.isCurrent(b.Epoch) {
		return reasonStaleEpoch
	}
	item, ok := r.grants.get(b.Grant)
	if !ok {
		return "the grant does not exist"
	}
	r.cloneIfShared()
	item.value.Revoked = true
	r.putGrant(item.value)
	return ""
}

func (r *RegionTables) release(_ StoredRecord, b Release) string {
	item, ok := r.grants.get(b.Grant)
	if !ok {
		return "the grant does not exist"
	}
	if upstream, known := r.upstreamByToken[b.Agent]; !known || upstream != item.value.Upstream {
		return "the registration is not the latest of the grant's upstream"
	}
	r.cloneIfShared()
	r.removeGrant(item.value)
	return ""
}

// startAgent registers an agent. A successor on the same host takes over the
// upstream's grants and its predecessor's intent. An agent on another host, as
// after the upstream was moved or created again, is registered only when the
// upstream has no grants left: the replicas loaded under them belong to an
// engine on the previous host, which the new agent cannot see.
func (r *RegionTables) startAgent(p StoredRecord, b AgentStart) string {
	old, ok := r.agents.get(b.Upstream)
	moved := ok && b.Host != "" && old.value.OnOtherHostThan(b.Host)
	if onUpstream, held := r.grantsByUpstream.get(b.Upstream); moved && held && len(onUpstream.value) > 0 {
		return "an agent on another host holds grants of the upstream"
	}
	r.cloneIfShared()
	if ok {
		delete(r.upstreamByToken, old.value.Token)
	}
	if moved {
		r.intents.remove(b.Upstream) // The intent concerns the engine on the previous host.
	}
	r.upstreamByToken[p.Offset] = b.Upstream
	r.agents.set(b.Upstream, AgentRegistration{
		Upstream: b.Upstream, Incarnation: b.Incarnation, Token: p.Offset, Fencing: b.Fencing, Host: b.Host,
	}, stamp{})
	return ""
}

// hostGone removes the grants and intents of the host's upstreams. It removes
// their registrations too, so that records which an agent of the host appends
// later have no effect until the agent registers again. An upstream whose agent
// is registered on another host is skipped: it has moved since the decider
// listed the upstreams.
func (r *RegionTables) hostGone(_ StoredRecord, b HostGone) string {
	if !r.isCurrent(b.Epoch) {
		return reasonStaleEpoch
	}
	r.cloneIfShared()
	for _, name := range b.Upstreams {
		agent, registered := r.agents.get(name)
		if registered && agent.value.OnOtherHostThan(b.Host) {
			continue
		}
		onUpstream, _ := r.grantsByUpstream.get(name)
		for _, g := range onUpstream.value {
			r.removeGrant(g)
		}
		if registered {
			delete(r.upstreamByToken, agent.value.Token)
			r.agents.remove(name)
		}
		r.intents.remove(name)
	}
	return ""
}

func (r *RegionTables) intent(p StoredRecord, b Intent) string {
	upstream, ok := r.upstreamByToken[b.Agent]
	if !ok {
		return "the registration is not the latest"
	}
	r.cloneIfShared()
	r.intents.set(upstream, IntentSet{
		Upstream: upstream, Agent: b.Agent, Offset: p.Offset, Record: p.ID, Models: b.Models, Orders: b.Orders,
	}, stamp{})
	return ""
}

func (r *RegionTables) setQuarantine(p StoredRecord, b Quarantine) string {
	r.cloneIfShared()
	var expired []uint64
	for q := range r.quarantine.all() {
		if q.Until.Add(quarantineRetention).Before(p.Time) {
			expired = append(expired, q.Fingerprint)
		}
	}
	for _, fingerprint := range expired {
		r.quarantine.remove(fingerprint)
	}
	if b.Until.IsZero() {
		r.quarantine.remove(b.Fingerprint)
		return ""
	}
	r.quarantine.set(b.Fingerprint, b, stamp{})
	return ""
}

// putGrant adds or replaces a grant in grants, grantsByModel and
// grantsByUpstream.
func (r *RegionTables) putGrant(g Grant) {
	r.grants.set(g.ID, g, stamp{})
	ofModel, _ := r.grantsByModel.get(g.Model)
	r.grantsByModel.set(g.Model, withGrant(ofModel.value, g), stamp{})
	onUpstream, _ := r.grantsByUpstream.get(g.Upstream)
	r.grantsByUpstream.set(g.Upstream, withGrant(onUpstream.value, g), stamp{})
}

// removeGrant removes a grant from grants, grantsByModel and grantsByUpstream.
func (r *RegionTables) removeGrant(g Grant) {
	r.grants.remove(g.ID)
	ofModel, _ := r.grantsByModel.get(g.Model)
	setOrRemove(r.grantsByModel, g.Model, withoutGrant(ofModel.value, g.ID))
	onUpstream, _ := r.grantsByUpstream.get(g.Upstream)
	setOrRemove(r.grantsByUpstream, g.Upstream, withoutGrant(onUpstream.value, g.ID))
}

// setOrRemove stores list under key, or removes the key if list is empty.
func setOrRemove[K any](t rows[K, []Grant], key K, list []Grant) {
	if len(list) == 0 {
		t.remove(key)
		return
	}
	t.set(key, list, stamp{})
}

// withGrant returns a copy of list in which g replaces the grant with its ID or
// is appended. IDs are increasing, so the copy stays sorted by ID.
func withGrant(list []Grant, g Grant) []Grant {
	if i := slices.IndexFunc(list, func(o Grant) bool { return o.ID == g.ID }); i >= 0 {
		list = slices.Clone(list)
		list[i] = g
		return list
	}
	return append(slices.Clip(list), g)
}

func withoutGrant(list []Grant, id Offset) []Grant {
	kept := make([]Grant, 0, len(list))
	for _, g := range list {
		if g.ID != id {
			kept = append(kept, g)
		}
	}
	return kept
}

// regionSnapshot is the encoding of the tables in a snapshot.
type regionSnapshot struct {
	Lease      LeaseState           `json:"lease"`
	Held       bool                 `json:"held"`
	Grants     []Grant              `json:"grants"`
	Agents     []AgentRegistration  `json:"agents"`
	Intents    []IntentSet          `json:"intents"`
	Quarantine []Quarantine         `json:"quarantine"`
	Configs    map[ModelName]Offset `json:"configs"`
}

// Snapshot encodes the tables and returns the last offset that they include.
// Equal tables are encoded to equal bytes.
func (r *RegionTables) Snapshot() ([]byte, Offset) {
	data, err := json.Marshal(regionSnapshot{
		Lease: r.lease, Held: r.leaseHeld,
		Grants:     slices.Collect(r.grants.all()),
		Agents:     slices.Collect(r.agents.all()),
		Intents:    slices.Collect(r.intents.all()),
		Quarantine: slices.Collect(r.quarantine.all()),
		Configs:    r.newestConfig,
	})
	if err != nil {
		panic(errors.Wrap(err, "encode region snapshot")) // All types in the tables can be encoded.
	}
	return data, r.offset
}

// Restore replaces the tables by those of a snapshot, which must cover at least
// the applied offset. On any error the tables stay as they are.
func (r *RegionTables) Restore(data []byte, covered Offset) error {
	if covered < r.offset {
		return errors.Wrapf(ErrOlderSnapshot, "covers %d, applied %d", covered, r.offset)
	}
	var saved regionSnapshot
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Wrap(err, "decode region snapshot")
	}
	fresh := NewRegionTables()
	fresh.offset, fresh.lease, fresh.leaseHeld = covered, saved.Lease, saved.Held
	for _, g := range saved.Grants {
		fresh.putGrant(g)
	}
	for _, a := range saved.Agents {
		fresh.agents.set(a.Upstream, a, stamp{})
		fresh.upstreamByToken[a.Token] = a.Upstream
	}
	for _, i := range saved.Intents {
		fresh.intents.set(i.Upstream, i, stamp{})
	}
	for _, q := range saved.Quarantine {
		fresh.quarantine.set(q.Fingerprint, q, stamp{})
	}
	for model, offset := range saved.Configs {
		fresh.newestConfig[model] = offset
	}
	*r = *fresh
	return nil
}
