package fleet

import (
	"crypto/sha256"
	"log/slog"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// APIKey is the secret with which a caller identifies its team. It formats as a
// placeholder, so that it appears in no log line or message.
type APIKey string

const redacted = "[redacted]"

// String implements fmt.Stringer.
func (APIKey) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (APIKey) GoString() string { return redacted }

// LogValue implements slog.LogValuer.
func (APIKey) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements encoding.TextMarshaler.
func (APIKey) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// KeyHash identifies a key. Keys are compared by their hashes, so the time of a lookup
// reveals nothing about them.
type KeyHash [sha256.Size]byte

// Hash returns the hash of the key.
func (k APIKey) Hash() KeyHash { return sha256.Sum256([]byte(k)) }

// Quota is the allowance of a team over all gateways. The zero value is no limit.
type Quota struct {
	// PerSecond and Burst are in tokens, or in requests if PerRequest is set.
	PerSecond, Burst float64
	// PerRequest is set if each request costs one.
	PerRequest bool
	// DefaultCost is the cost in tokens of a request that declares no token counts.
	DefaultCost Tokens
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 || q.Burst > 0 }

// Cost returns the cost of a request with the given declared sizes of its prompt and its
// longest answer; both are zero if it declares none.
func (q Quota) Cost(prompt, maxAnswer Tokens) Tokens {
	switch {
	case q.PerRequest:
		return 1
	case prompt <= 0 && maxAnswer <= 0:
		return q.DefaultCost
	default:
		return max(prompt, 0) + max(maxAnswer, 0)
	}
}

// Team is a tenant of the manifest. It is immutable.
type Team struct {
	Name state.TeamName
	// Priority replaces the priority of the route unless it is nil.
	Priority *int
	Quota    Quota
}

// TeamKeys is a team with the hashes of its keys.
type TeamKeys struct {
	Team *Team
	Keys []KeyHash
}

// SetTeams adds the teams of a manifest that is not in use yet. From then on, routes
// that are not public require a key. The error wraps ErrInvalidEntry if a name is empty
// or occurs twice, or if two teams have the same key.
func (m *Manifest) SetTeams(teams []TeamKeys) error {
	count := 0
	for _, t := range teams {
		count += len(t.Keys)
	}
	m.teams = make(map[state.TeamName]*Team, len(teams))
	m.teamByKey = make(map[KeyHash]*Team, count)
	for _, t := range teams {
		if t.Team.Name == "" {
			return errors.Wrap(ErrInvalidEntry, "team without a name")
		}
		if m.teams[t.Team.Name] != nil {
			return errors.Wrapf(ErrInvalidEntry, "team %q occurs twice", t.Team.Name)
		}
		m.teams[t.Team.Name] = t.Team
		for _, key := range t.Keys {
			if other := m.teamByKey[key]; other != nil && other != t.Team {
				return errors.Wrapf(ErrInvalidEntry, "teams %q and %q have the same key", other.Name, t.Team.Name)
			}
			m.teamByKey[key] = t.Team
		}
	}
	return nil
}

// HasTeams reports whether the manifest has teams.
func (m *Manifest) HasTeams() bool { return m.teamByKey != nil }

// Teams returns the teams by name. The caller must not change the map.
func (m *Manifest) Teams() map[state.TeamName]*Team { return m.teams }

// Priorities returns the priorities that requests may have under the manifest, in no
// order and possibly more than once.
func (m *Manifest) Priorities() []int {
	var priorities []int
	fromRoutes := len(m.teams) == 0
	for _, t := range m.teams {
		if t.Priority == nil {
			fromRoutes = true
			continue
		}
		priorities = append(priorities, *t.Priority)
	}
	for _, routes := range m.byHost {
		for _, r := range routes {
			if fromRoutes || r.Public {
				priorities = append(priorities, r.Priority)
			}
		}
	}
	return priorities
}

// SetRevoked records, in a manifest that is not in use yet, the keys of the previous manifest
// and its revoked keys, except those that m has. At most maxRevoked are kept.
func (m *Manifest) SetRevoked(previous *Manifest) {
	if !m.HasTeams() || previous == nil {
		return
	}
	m.revoked = make(map[KeyHash]struct{})
	add := func(hash KeyHash) {
		if m.teamByKey[hash] == nil && len(m.revoked) < maxRevoked {
			m.revoked[hash] = struct{}{}
		}
	}
	for hash := range previous.teamByKey {
		add(hash)
	}
	for hash := range previous.revoked {
		add(hash)
	}
}

// maxRevoked bounds the revoked keys that are remembered. A forgotten one is reported as
// unknown.
const maxRevoked = 4096

// WasRevoked reports whether an earlier manifest had the key.
func (m *Manifest) WasRevoked(key KeyHash) bool {
	_, ok := m.revoked[key]
	return ok
}

// TeamOf returns the team of a key, nil if there is none.
func (m *Manifest) TeamOf(key KeyHash) *Team { return m.teamByKey[key] }
