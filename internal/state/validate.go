package state

import (
	"fmt"
	"net/netip"
	"slices"
)

// Bounds of configured values. They are wide enough for the two-year size and
// keep sums of sizes far from overflow.
const (
	maxNameLength = 128
	maxReplicas   = 100_000
	maxWeight     = 1_000
	maxSize       = 1 << 50
)

// reasons collects everything that speaks against a change.
type reasons []string

func (r *reasons) add(format string, args ...any) { *r = append(*r, fmt.Sprintf(format, args...)) }

// owner checks that a change by a member of team may touch an entity of owner.
// An empty team stands for the platform's operators, who may change all.
func (r *reasons) owner(team, owner TeamName) {
	switch {
	case team == "" || team == owner:
	case owner == "":
		r.add("only the platform's operators may change this, not team %q", team)
	default:
		r.add("the entity belongs to team %q, not to %q", owner, team)
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i, b := range []byte(name) {
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && (i == 0 || b != '-' && b != '.' && b != '_') {
			return false
		}
	}
	return true
}

func inRange[N int | Bytes | Duration | Class](why *reasons, what string, value, low, high N) {
	if value < low || value > high {
		why.add("%s is %v, must be from %v to %v", what, value, low, high)
	}
}

func unique[T comparable](why *reasons, what string, list []T) {
	seen := make(map[T]bool, len(list))
	for _, item := range list {
		if seen[item] {
			why.add("%s %v is listed twice", what, item)
		}
		seen[item] = true
	}
}

func exists[K comparable, V any](why *reasons, what string, t *table[K, V], key K) {
	if _, ok := t.rows.get(key); !ok {
		why.add("%s %v does not exist", what, key)
	}
}

func platformOwned[V any](*Config, V) TeamName { return "" }

func neverUsed[V any](*Config, V, *reasons) {}

func teamKind() kindOf[TeamName, Team] {
	return kindOf[TeamName, Team]{
		less: lessName[TeamName], parse: parseName[TeamName],
		key:   func(t Team) TeamName { return t.Name },
		team:  platformOwned[Team],
		check: func(*Config, Team, *reasons) {},
		used:  checkTeamUnused,
	}
}

func checkTeamUnused(c *Config, t Team, why *reasons) {
	for m := range c.models.rows.all() {
		if m.Team == t.Name {
			why.add("model %q belongs to the team", m.Name)
		}
	}
	for a := range c.adapters.rows.all() {
		if a.Team == t.Name {
			why.add("adapter %q belongs to the team", a.Name)
		}
	}
	for caller := range c.callers.rows.all() {
		if caller.Team == t.Name {
			why.add("caller %q belongs to the team", caller.Name)
		}
	}
	for s := range c.services.rows.all() {
		if s.Team == t.Name {
			why.add("service %q belongs to the team", s.Name)
		}
	}
}

func modelKind() kindOf[ModelName, Model] {
	return kindOf[ModelName, Model]{
		less: lessName[ModelName], parse: parseName[ModelName],
		key:   func(m Model) ModelName { return m.Name },
		team:  func(_ *Config, m Model) TeamName { return m.Team },
		check: checkModel,
		used:  checkModelUnused,
	}
}

func checkModel(c *Config, m Model, why *reasons) {
	exists(why, "team", c.teams, m.Team)
	inRange(why, "max_replicas", m.MaxReplicas, 0, maxReplicas)
	inRange(why, "min_replicas", m.MinReplicas, 0, max(0, m.MaxReplicas))
	inRange(why, "keep_alive", m.KeepAlive, 0, Duration(1<<62))
	if m.Active != "" {
		exists(why, "version", c.versions, ReplicaKey{m.Name, m.Active})
	}
	unique(why, "pinned upstream", m.Pinned)
	for _, name := range m.Pinned {
		exists(why, "pinned upstream", c.upstreams, name)
	}
}

func checkModelUnused(c *Config, m Model, why *reasons) {
	for version := range versionsOf(c.versions.rows, m.Name) {
		why.add("version %q is of the model", version.Name)
	}
	for a := range c.adapters.rows.all() {
		if a.Model == m.Name {
			why.add("adapter %q is of the model", a.Name)
		}
	}
}

func versionKind() kindOf[ReplicaKey, ModelVersion] {
	return kindOf[ReplicaKey, ModelVersion]{
		less: lessReplica, parse: parseVersion,
		key: ModelVersion.Key,
		team: func(c *Config, v ModelVersion) TeamName {
			m, _ := c.models.rows.get(v.Model)
			return m.value.Team
		},
		check: func(c *Config, v ModelVersion, why *reasons) {
			exists(why, "model", c.models, v.Model)
			inRange(why, "weights", v.Weights, 1, Bytes(maxSize))
			inRange(why, "kv_headroom", v.KVHeadroom, 0, Bytes(maxSize))
		},
		used: func(c *Config, v ModelVersion, why *reasons) {
			if m, ok := c.models.rows.get(v.Model); ok && m.value.Active == v.Name {
				why.add("the version is the active one of model %q", v.Model)
			}
		},
	}
}

func adapterKind() kindOf[AdapterName, Adapter] {
	return kindOf[AdapterName, Adapter]{
		less: lessName[AdapterName], parse: parseName[AdapterName],
		key:  func(a Adapter) AdapterName { return a.Name },
		team: func(_ *Config, a Adapter) TeamName { return a.Team },
		check: func(c *Config, a Adapter, why *reasons) {
			exists(why, "team", c.teams, a.Team)
			exists(why, "model", c.models, a.Model)
			inRange(why, "size", a.Size, 1, Bytes(maxSize))
		},
		used: neverUsed[Adapter],
	}
}

func callerKind() kindOf[CallerName, Caller] {
	return kindOf[CallerName, Caller]{
		less: lessName[CallerName], parse: parseName[CallerName],
		key:  func(caller Caller) CallerName { return caller.Name },
		team: func(_ *Config, caller Caller) TeamName { return caller.Team },
		check: func(c *Config, caller Caller, why *reasons) {
			exists(why, "team", c.teams, caller.Team)
			inRange(why, "highest", caller.HighestClass, ClassHigh, ClassLow)
			inRange(why, "weight", caller.Weight, 1, maxWeight)
			inRange(why, "max_in_flight", caller.MaxInFlight, 0, 1<<30)
		},
		used: neverUsed[Caller],
	}
}

func serviceKind() kindOf[ServiceName, Service] {
	return kindOf[ServiceName, Service]{
		less: lessName[ServiceName], parse: parseName[ServiceName],
		key:  func(s Service) ServiceName { return s.Name },
		team: func(_ *Config, s Service) TeamName { return s.Team },
		check: func(c *Config, s Service, why *reasons) {
			exists(why, "team", c.teams, s.Team)
			calls := make([]ServiceCall, 0, len(s.Calls))
			for _, call := range s.Calls {
				calls = append(calls, ServiceCall{Method: call.Method, Prefix: call.Prefix})
				if call.Prefix == "" || call.Prefix[0] != '/' {
					why.add("prefix %q must start with a slash", call.Prefix)
				}
			}
			unique(why, "call", calls)
		},
		used: func(c *Config, s Service, why *reasons) {
			for u := range c.upstreams.rows.all() {
				if slices.Contains(u.Services, s.Name) {
					why.add("upstream %q runs the service", u.Name)
				}
			}
		},
	}
}

func upstreamKind() kindOf[UpstreamName, Upstream] {
	return kindOf[UpstreamName, Upstream]{
		less: lessName[UpstreamName], parse: parseName[UpstreamName],
		key:   func(u Upstream) UpstreamName { return u.Name },
		team:  platformOwned[Upstream],
		check: checkUpstream,
		used: func(c *Config, u Upstream, why *reasons) {
			for m := range c.models.rows.all() {
				if slices.Contains(m.Pinned, u.Name) {
					why.add("model %q is pinned to the upstream", m.Name)
				}
			}
		},
	}
}

func checkUpstream(c *Config, u Upstream, why *reasons) {
	validPart(why, "host", string(u.Host))
	validPart(why, "data_centre", string(u.DataCentre))
	validPart(why, "region", string(u.Region))
	checkAddress(c, u.Name, "traffic_addr", u.TrafficAddr, why)
	checkAddress(c, u.Name, "control_addr", u.ControlAddr, why)
	if u.TrafficAddr == u.ControlAddr {
		why.add("traffic_addr and control_addr are the same")
	}
	unique(why, "service", u.Services)
	for _, name := range u.Services {
		exists(why, "service", c.services, name)
	}
	inRange(why, "memory", u.Memory, 0, Bytes(maxSize))
	switch u.Kind {
	case ModelRunner:
		if u.Memory == 0 {
			why.add("a model runner needs memory")
		}
		if u.Fencing != FencingEnforced && u.Fencing != FencingIgnored {
			why.add("fencing %q must be %q or %q", u.Fencing, FencingEnforced, FencingIgnored)
		}
	case ApplicationRunner, PlainService:
	default:
		why.add("unknown kind of upstream %q", u.Kind)
	}
}

func validPart(why *reasons, what, name string) {
	if !validName(name) {
		why.add("%s %q is not a valid name", what, name)
	}
}

func checkAddress(c *Config, name UpstreamName, what, address string, why *reasons) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		why.add("%s %q must be ip:port", what, address)
		return
	}
	if other, taken := c.addresses[address]; taken && other != name {
		why.add("%s %s is already that of upstream %q", what, address, other)
	}
}

func drainKind() kindOf[string, Drain] {
	return kindOf[string, Drain]{
		less: lessName[string], parse: parseDrain,
		key:  Drain.Key,
		team: platformOwned[Drain],
		check: func(c *Config, d Drain, why *reasons) {
			if (d.Upstream == "") == (d.Host == "") {
				why.add("a drain names either an upstream or a host")
			}
			if d.Upstream != "" {
				exists(why, "upstream", c.upstreams, d.Upstream)
			}
		},
		used: neverUsed[Drain],
	}
}
