package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// view is what the control goroutine publishes for traffic. It is immutable.
type view struct {
	config *state.ConfigView
	region *state.RegionView
	// adapters is the index of config's adapters.
	adapters state.AdapterIndex
	// replaced is closed when a later view is published.
	replaced chan struct{}
	// ready says that both streams have been read to their ends once.
	ready bool
	// ring assigns the soft roles of the own region.
	ring *membership.Ring
	// addresses holds the control addresses of the known entries.
	addresses map[state.EntryName]string
	// services holds the replicas of each plain service.
	services map[state.ServiceName][]rpc.ReplicaAt
}

// unready refuses requests while the configuration is not known.
func (v *view) unready() *verdict.Verdict {
	if v == nil || !v.ready {
		return verdict.Refuse(verdict.ReasonNotReady, "this entry has not read its configuration yet").WithRetryAfter(time.Second)
	}
	return nil
}

// resolve finds the model or adapter that a caller names. An adapter is also
// found as "model:adapter".
func (v *view) resolve(name string) (target, *verdict.Verdict) {
	if model, _, ok := v.config.Model(state.ModelName(name)); ok {
		return v.modelTarget(model, "")
	}
	adapterName := name
	if i := strings.LastIndexByte(name, ':'); i >= 0 {
		adapterName = name[i+1:]
	}
	adapter, _, ok := v.config.Adapter(state.AdapterName(adapterName))
	if !ok || (adapterName != name && string(adapter.Model)+":"+adapterName != name) {
		return target{}, verdict.Refuse(verdict.ReasonUnknownModel, "no such model or adapter: "+name)
	}
	model, _, ok := v.config.Model(adapter.Model)
	if !ok {
		return target{}, verdict.Refuse(verdict.ReasonUnknownModel, "the adapter's model does not exist: "+string(adapter.Model))
	}
	return v.modelTarget(model, adapter.Name)
}

func (v *view) modelTarget(model state.Model, adapter state.AdapterName) (target, *verdict.Verdict) {
	if model.Active == "" {
		return target{}, verdict.Refuse(verdict.ReasonUnknownModel, "the model has no active version: "+string(model.Name))
	}
	key := state.ReplicaKey{Model: model.Name, Version: model.Active}
	return target{key: key, adapter: adapter}, nil
}

func (v *view) service(name state.ServiceName) (state.Service, bool) {
	service, _, ok := v.config.Service(name)
	return service, ok
}

func (v *view) quarantined(fingerprint uint64, now time.Time) bool {
	return v.region.Quarantined(fingerprint, now)
}

// identify finds the caller of a request and caps its class.
func (v *view) identify(req *request, attrs attributes, unnamed state.Caller) *verdict.Verdict {
	req.caller = unnamed
	if attrs.caller != nil && *attrs.caller != "" {
		caller, _, ok := v.config.Caller(state.CallerName(*attrs.caller))
		if !ok {
			return verdict.Refuse(verdict.ReasonUnauthorized, "no such caller: "+*attrs.caller)
		}
		req.caller = caller
	}
	req.class = max(req.class, req.caller.HighestClass)
	req.caller.Weight = max(1, req.caller.Weight)
	return nil
}

// bearerMatches compares a bearer token with a digest in constant time.
func bearerMatches(authorization *string, digest string) bool {
	if authorization == nil {
		return false
	}
	token, ok := strings.CutPrefix(*authorization, "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	text := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(text), []byte(digest)) == 1
}
