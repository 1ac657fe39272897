package state

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// quarantineKeep is how long an expired quarantine stays in the tables. It
// covers readers whose clock is behind the log's.
const quarantineKeep = time.Hour

// RegionTables holds the tables of a region's stream. One goroutine owns it;
// the others read its views.
type RegionTables struct {
	offset Offset
	lease  LeaseState
	held   bool
	grants rows[Offset, Grant]
	// byModel and byUpstream hold slices that are replaced, never changed.
	byModel    rows[ModelName, []Grant]
	byUpstream rows[UpstreamName, []Grant]
	agents     rows[UpstreamName, AgentRegistration]
	intents    rows[UpstreamName, IntentSet]
	quarantine rows[uint64, Quarantine]
	// tokens finds the upstream of a latest registration.
	tokens map[FencingToken]UpstreamName
	// configs holds the highest configuration offset among the effective
	// grants of each model, released ones included.
	configs map[ModelName]Offset
	shared  bool
}

// NewRegionTables returns empty tables that have applied nothing.
func NewRegionTables() *RegionTables {
	offsets := func(a, b Offset) bool { return a < b }
	return &RegionTables{
		offset:     NoOffset,
		grants:     newRows[Offset, Grant](offsets),
		byModel:    newRows[ModelName, []Grant](lessName[ModelName]),
		byUpstream: newRows[UpstreamName, []Grant](lessName[UpstreamName]),
		agents:     newRows[UpstreamName, AgentRegistration](lessName[UpstreamName]),
		intents:    newRows[UpstreamName, IntentSet](lessName[UpstreamName]),
		quarantine: newRows[uint64, Quarantine](func(a, b uint64) bool { return a < b }),
		tokens:     map[FencingToken]UpstreamName{},
		configs:    map[ModelName]Offset{},
	}
}

// Offset returns the last applied offset, or NoOffset.
func (r *RegionTables) Offset() Offset { return r.offset }

// View returns an immutable view of the tables.
func (r *RegionTables) View() *RegionView {
	r.shared = true
	return &RegionView{
		offset: r.offset, lease: r.lease, held: r.held,
		grants: r.grants, byModel: r.byModel, byUpstream: r.byUpstream,
		agents: r.agents, intents: r.intents, quarantine: r.quarantine,
	}
}

// beforeWrite leaves the trees of a published view alone.
func (r *RegionTables) beforeWrite() {
	if !r.shared {
		return
	}
	r.grants = r.grants.clone()
	r.byModel = r.byModel.clone()
	r.byUpstream = r.byUpstream.clone()
	r.agents = r.agents.clone()
	r.intents = r.intents.clone()
	r.quarantine = r.quarantine.clone()
	r.shared = false
}

// Apply applies the record at p's position. Offsets at or below the applied
// one are ignored. The effect depends on the records of this stream only.
func (r *RegionTables) Apply(p StoredRecord) Outcome {
	if p.Offset <= r.offset {
		return Outcome{Offset: p.Offset}
	}
	r.offset = p.Offset
	switch p.Kind {
	case KindLeaseTake:
		return decoded(p, r.takeLease)
	case KindLeaseRenew:
		return decoded(p, r.renewLease)
	case KindGrant:
		return decoded(p, r.grant)
	case KindRevoke:
		return decoded(p, r.revoke)
	case KindRelease:
		return decoded(p, r.release)
	case KindAgentStart:
		return decoded(p, r.startAgent)
	case KindHostGone:
		return decoded(p, r.hostGone)
	case KindIntent:
		return decoded(p, r.intent)
	case KindQuarantine:
		return decoded(p, r.putQuarantine)
	}
	return Outcome{Offset: p.Offset}
}

// decoded applies a body; apply returns why it has no effect, or "".
func decoded[B Body](p StoredRecord, apply func(StoredRecord, B) string) Outcome {
	body, err := DecodeBody[B](p.Record)
	if err != nil {
		return invalid(p, err.Error())
	}
	if why := apply(p, body); why != "" {
		return Outcome{Effect: EffectConflict, Offset: p.Offset, Winner: Winner{Offset: NoOffset}, Reasons: []string{why}}
	}
	return Outcome{Effect: EffectApplied, Offset: p.Offset}
}

func (r *RegionTables) epoch() Epoch {
	if !r.held {
		return NoOffset
	}
	return r.lease.Epoch
}

const staleEpoch = "the epoch is not current"

// current reports whether e is the epoch in force. Without a lease no epoch
// is, not even NoOffset.
func (r *RegionTables) current(e Epoch) bool { return r.held && e == r.lease.Epoch }

func (r *RegionTables) takeLease(p StoredRecord, b LeaseTake) string {
	if b.Replaces != r.epoch() {
		return "the lease to replace is not current"
	}
	r.held = true
	r.lease = LeaseState{Epoch: p.Offset, Holder: b.Holder, Writer: p.Writer, RenewedOffset: p.Offset, RenewedAt: p.Time}
	return ""
}

func (r *RegionTables) renewLease(p StoredRecord, b LeaseRenew) string {
	if !r.current(b.Epoch) {
		return staleEpoch
	}
	r.lease.RenewedOffset = p.Offset
	r.lease.RenewedAt = p.Time
	return ""
}

func (r *RegionTables) grant(p StoredRecord, b GrantBody) string {
	if !r.current(b.Epoch) {
		return staleEpoch
	}
	if highest, ok := r.configs[b.Model]; ok && b.ConfigOffset < highest {
		return "an earlier grant of the model saw a newer configuration"
	}
	of, _ := r.byModel.get(b.Model)
	if len(of.value) >= b.Limit {
		return "the model has as many grants as its limit"
	}
	if slices.ContainsFunc(of.value, func(g Grant) bool { return g.Upstream == b.Upstream }) {
		return "the upstream has a grant of the model"
	}
	r.beforeWrite()
	r.configs[b.Model] = b.ConfigOffset
	r.put(Grant{ID: p.Offset, ReplicaKey: b.ReplicaKey, Upstream: b.Upstream, Epoch: b.Epoch})
	return ""
}

func (r *RegionTables) revoke(_ StoredRecord, b Revoke) string {
	if !r.current(b.Epoch) {
		return staleEpoch
	}
	item, ok := r.grants.get(b.Grant)
	if !ok {
		return "the grant does not exist"
	}
	r.beforeWrite()
	item.value.Revoked = true
	r.put(item.value)
	return ""
}

func (r *RegionTables) release(_ StoredRecord, b Release) string {
	item, ok := r.grants.get(b.Grant)
	if !ok {
		return "the grant does not exist"
	}
	if upstream, known := r.tokens[b.Agent]; !known || upstream != item.value.Upstream {
		return "the registration is not the latest of the grant's upstream"
	}
	r.beforeWrite()
	r.drop(item.value)
	return ""
}

// startAgent registers an agent. It ends neither grants nor the predecessor's
// intent: both stay with the upstream on its host. An agent on another host,
// whose upstream was created again or moved, is registered only once the
// grants are released or freed: the replicas loaded under them would otherwise
// be those of an engine that the new agent does not see.
func (r *RegionTables) startAgent(p StoredRecord, b AgentStart) string {
	old, ok := r.agents.get(b.Upstream)
	moved := ok && b.Host != "" && old.value.OnOtherHostThan(b.Host)
	if on, held := r.byUpstream.get(b.Upstream); moved && held && len(on.value) > 0 {
		return "an agent on another host holds grants of the upstream"
	}
	r.beforeWrite()
	if ok {
		delete(r.tokens, old.value.Token)
	}
	if moved {
		r.intents.remove(b.Upstream) // It says what the other host's engine may load.
	}
	r.tokens[p.Offset] = b.Upstream
	r.agents.set(b.Upstream, AgentRegistration{
		Upstream: b.Upstream, Incarnation: b.Incarnation, Token: p.Offset, Fencing: b.Fencing, Host: b.Host,
	}, stamp{})
	return ""
}

// hostGone frees the grants of the host's upstreams. It ends their
// registrations too, so that nothing that an agent of the host appends later
// takes effect before it registers again. An upstream whose agent is registered
// on another host has moved since the decider saw it.
func (r *RegionTables) hostGone(_ StoredRecord, b HostGone) string {
	if !r.current(b.Epoch) {
		return staleEpoch
	}
	r.beforeWrite()
	for _, name := range b.Upstreams {
		agent, registered := r.agents.get(name)
		if registered && agent.value.OnOtherHostThan(b.Host) {
			continue
		}
		on, _ := r.byUpstream.get(name)
		for _, g := range on.value {
			r.drop(g)
		}
		if registered {
			delete(r.tokens, agent.value.Token)
			r.agents.remove(name)
		}
		r.intents.remove(name)
	}
	return ""
}

func (r *RegionTables) intent(p StoredRecord, b Intent) string {
	upstream, ok := r.tokens[b.Agent]
	if !ok {
		return "the registration is not the latest"
	}
	r.beforeWrite()
	r.intents.set(upstream, IntentSet{
		Upstream: upstream, Agent: b.Agent, Offset: p.Offset, Record: p.ID, Models: b.Models, Orders: b.Orders,
	}, stamp{})
	return ""
}

func (r *RegionTables) putQuarantine(p StoredRecord, b Quarantine) string {
	r.beforeWrite()
	var expired []uint64
	for q := range r.quarantine.all() {
		if q.Until.Add(quarantineKeep).Before(p.Time) {
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

// put adds or replaces a grant in all three tables.
func (r *RegionTables) put(g Grant) {
	r.grants.set(g.ID, g, stamp{})
	of, _ := r.byModel.get(g.Model)
	r.byModel.set(g.Model, with(of.value, g), stamp{})
	on, _ := r.byUpstream.get(g.Upstream)
	r.byUpstream.set(g.Upstream, with(on.value, g), stamp{})
}

// drop removes a grant from all three tables.
func (r *RegionTables) drop(g Grant) {
	r.grants.remove(g.ID)
	of, _ := r.byModel.get(g.Model)
	setOrRemove(r.byModel, g.Model, without(of.value, g.ID))
	on, _ := r.byUpstream.get(g.Upstream)
	setOrRemove(r.byUpstream, g.Upstream, without(on.value, g.ID))
}

func setOrRemove[K any](t rows[K, []Grant], key K, list []Grant) {
	if len(list) == 0 {
		t.remove(key)
		return
	}
	t.set(key, list, stamp{})
}

// with returns a new slice with g in place of the grant of its id, or at the
// end. Ids grow, so the order is that of the ids.
func with(list []Grant, g Grant) []Grant {
	if i := slices.IndexFunc(list, func(o Grant) bool { return o.ID == g.ID }); i >= 0 {
		list = slices.Clone(list)
		list[i] = g
		return list
	}
	return append(slices.Clip(list), g)
}

func without(list []Grant, id Offset) []Grant {
	kept := make([]Grant, 0, len(list))
	for _, g := range list {
		if g.ID != id {
			kept = append(kept, g)
		}
	}
	return kept
}

// savedRegion is the form of the tables in a snapshot.
type savedRegion struct {
	Lease      LeaseState           `json:"lease"`
	Held       bool                 `json:"held"`
	Grants     []Grant              `json:"grants"`
	Agents     []AgentRegistration  `json:"agents"`
	Intents    []IntentSet          `json:"intents"`
	Quarantine []Quarantine         `json:"quarantine"`
	Configs    map[ModelName]Offset `json:"configs"`
}

// Snapshot encodes the tables and returns the offset that they cover. Equal
// tables give equal bytes.
func (r *RegionTables) Snapshot() ([]byte, Offset) {
	data, err := json.Marshal(savedRegion{
		Lease: r.lease, Held: r.held,
		Grants:     slices.Collect(r.grants.all()),
		Agents:     slices.Collect(r.agents.all()),
		Intents:    slices.Collect(r.intents.all()),
		Quarantine: slices.Collect(r.quarantine.all()),
		Configs:    r.configs,
	})
	if err != nil {
		panic(errors.Wrap(err, "encode own tables")) // Only types that always encode are in them.
	}
	return data, r.offset
}

// Restore replaces the tables by those of a snapshot. It refuses to go back
// and leaves the tables as they are on any error.
func (r *RegionTables) Restore(data []byte, covered Offset) error {
	if covered < r.offset {
		return errors.Wrapf(ErrOlderSnapshot, "covers %d, applied %d", covered, r.offset)
	}
	var saved savedRegion
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Wrap(err, "decode region snapshot")
	}
	fresh := NewRegionTables()
	fresh.offset, fresh.lease, fresh.held = covered, saved.Lease, saved.Held
	for _, g := range saved.Grants {
		fresh.put(g)
	}
	for _, a := range saved.Agents {
		fresh.agents.set(a.Upstream, a, stamp{})
		fresh.tokens[a.Token] = a.Upstream
	}
	for _, i := range saved.Intents {
		fresh.intents.set(i.Upstream, i, stamp{})
	}
	for _, q := range saved.Quarantine {
		fresh.quarantine.set(q.Fingerprint, q, stamp{})
	}
	for model, offset := range saved.Configs {
		fresh.configs[model] = offset
	}
	*r = *fresh
	return nil
}
