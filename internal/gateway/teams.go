package gateway

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// unconfirmedRetryAfter is the Retry-After sent while the manifest is too old to check
// keys. Another gateway may have a confirmed one.
const unconfirmedRetryAfter = 300 * time.Millisecond

// identify finds the team of the request's key, and takes the team's priority if it has one.
// It returns a verdict if the request is refused.
func (x *exchange) identify(m *fleet.Manifest) *verdict.Verdict {
	x.setTeam(nil)
	x.needsKey = m.HasTeams() && !x.route.Public
	if !x.needsKey {
		return nil
	}
	if x.keyHash == nil {
		hash := x.call.Key.Hash()
		x.keyHash = &hash
	}
	if refusal := x.refuseKey(m); refusal != nil {
		return refusal
	}
	x.setTeam(m.TeamOf(*x.keyHash))
	return nil
}

// setTeam sets the team, which may be nil, and the priority that follows from it.
func (x *exchange) setTeam(team *fleet.Team) {
	x.team, x.priority = team, x.route.Priority
	if team != nil && team.Priority != nil {
		x.priority = *team.Priority
	}
}

// keyResult decides whether the request's key may be used now.
func (x *exchange) keyResult(m *fleet.Manifest) access.Result {
	if !x.needsKey || !m.HasTeams() {
		return access.Allowed
	}
	key := access.Key{Known: m.TeamOf(*x.keyHash) != nil, Revoked: m.WasRevoked(*x.keyHash)}
	return x.gateway.opts.Access.Check(x.gateway.manifestState(), key)
}

func (g *Gateway) manifestState() access.Manifest {
	return access.Manifest{ConfirmedAt: *g.manifestConfirmedAt.Load(), Now: boottime.Now()}
}

// keyRefusal returns the verdict for a key that may not be used.
func keyRefusal(result access.Result) *verdict.Verdict {
	switch result {
	case access.Unconfirmed:
		return verdict.Refuse(verdict.ReasonConfigStale, "the manifest is too old to check the key").WithRetryAfter(unconfirmedRetryAfter)
	case access.RevokedKey:
		return verdict.Refuse(verdict.ReasonUnauthorized, "the key was revoked")
	default:
		return verdict.Refuse(verdict.ReasonUnauthorized, "no team has the key")
	}
}

// refuseKey counts and returns the refusal of a request whose key may not be used: the key is
// unknown or was removed, or the manifest is too old to tell.
func (x *exchange) refuseKey(m *fleet.Manifest) *verdict.Verdict {
	result := x.keyResult(m)
	if result == access.Allowed {
		return nil
	}
	x.gateway.opts.Meter.KeyRefused(result)
	return keyRefusal(result)
}

// teamName returns the name of the request's team, empty if it needs no key.
func (x *exchange) teamName() state.TeamName {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}
