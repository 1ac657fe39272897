package state

import (
	"fmt"
	"net/netip"
	"slices"
)

// Bounds of configured values. They allow for the size expected in two years and
// keep sums of sizes far from an integer overflow.
const (
	maxNameLength = 128
	maxReplicas   = 100_000
	maxWeight     = 1_000
	maxSize       = 1 << 50
)

// violationList collects the reasons why a change is invalid.
type violationList []string

func (r *violationList) add(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// checkOwner checks that a member of team may change an entity of owner. An
// empty team stands for the platform's operators, who may change every entity.
func (r *violationList) checkOwner(team, owner TeamName) {
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

func checkRange[N int | Bytes | Duration | Class](violations *violationList, field string, value, low, high N) {
	if value < low || value > high {
		violations.add("%s is %v, must be from %v to %v", field, value, low, high)
	}
}

func checkUnique[T comparable](violations *violationList, field string, list []T) {
	seen := make(map[T]bool, len(list))
	for _, item := range list {
		if seen[item] {
			violations.add("%s %v is listed twice", field, item)
		}
		seen[item] = true
	}
}

func checkExists[K comparable, V any](violations *violationList, field string, t *table[K, V], key K) {
	if _, ok := t.rows.get(key); !ok {
		violations.add("%s %v does not exist", field, key)
	}
}

func platformOwned[V any](*Config, V) TeamName { return "" }

func alwaysUnused[V any](*Config, V, *violationList) {}

func teamSchema() schema[TeamName, Team] {
	return schema[TeamName, Team]{
		less: lessName[TeamName], parse: parseName[TeamName],
		key:         func(t Team) TeamName { return t.Name },
		owner:       platformOwned[Team],
		validate:    func(*Config, Team, *violationList) {},
		checkUnused: checkTeamUnused,
	}
}

func checkTeamUnused(c *Config, t Team, violations *violationList) {
	for m := range c.models.rows.all() {
		if m.Team == t.Name {
			violations.add("model %q belongs to the team", m.Name)
		}
	}
	for a := range c.adapters.rows.all() {
		if a.Team == t.Name {
			violations.add("adapter %q belongs to the team", a.Name)
		}
	}
	for caller := range c.callers.rows.all() {
		if caller.Team == t.Name {
			violations.add("caller %q belongs to the team", caller.Name)
		}
	}
	for s := range c.services.rows.all() {
		if s.Team == t.Name {
			violations.add("service %q belongs to the team", s.Name)
		}
	}
}

func modelSchema() schema[ModelName, Model] {
	return schema[ModelName, Model]{
		less: lessName[ModelName], parse: parseName[ModelName],
		key:         func(m Model) ModelName { return m.Name },
		owner:       func(_ *Config, m Model) TeamName { return m.Team },
		validate:    checkModel,
		checkUnused: checkModelUnused,
	}
}

func checkModel(c *Config, m Model, violations *violationList) {
	checkExists(violations, "team", c.teams, m.Team)
	checkRange(violations, "max_replicas", m.MaxReplicas, 0, maxReplicas)
	checkRange(violations, "min_replicas", m.MinReplicas, 0, max(0, m.MaxReplicas))
	checkRange(violations, "keep_alive", m.KeepAlive, 0, Duration(1<<62))
	if m.Active != "" {
		checkExists(violations, "version", c.versions, ReplicaKey{m.Name, m.Active})
	}
	checkUnique(violations, "pinned upstream", m.Pinned)
	for _, name := range m.Pinned {
		checkExists(violations, "pinned upstream", c.upstreams, name)
	}
}

func checkModelUnused(c *Config, m Model, violations *violationList) {
	for version := range versionsOf(c.versions.rows, m.Name) {
		violations.add("version %q is of the model", version.Name)
	}
	for a := range c.adapters.rows.all() {
		if a.Model == m.Name {
			violations.add("adapter %q is of the model", a.Name)
		}
	}
}

func versionSchema() schema[ReplicaKey, ModelVersion] {
	return schema[ReplicaKey, ModelVersion]{
		less: lessReplicaKey, parse: parseVersion,
		key: ModelVersion.Key,
		owner: func(c *Config, v ModelVersion) TeamName {
			m, _ := c.models.rows.get(v.Model)
			return m.value.Team
		},
		validate: func(c *Config, v ModelVersion, violations *violationList) {
			checkExists(violations, "model", c.models, v.Model)
			checkRange(violations, "weights", v.Weights, 1, Bytes(maxSize))
			checkRange(violations, "kv_headroom", v.KVHeadroom, 0, Bytes(maxSize))
		},
		checkUnused: func(c *Config, v ModelVersion, violations *violationList) {
			if m, ok := c.models.rows.get(v.Model); ok && m.value.Active == v.Name {
				violations.add("the version is the active one of model %q", v.Model)
			}
		},
	}
}

func adapterSchema() schema[AdapterName, Adapter] {
	return schema[AdapterName, Adapter]{
		less: lessName[AdapterName], parse: parseName[AdapterName],
		key:   func(a Adapter) AdapterName { return a.Name },
		owner: func(_ *Config, a Adapter) TeamName { return a.Team },
		validate: func(c *Config, a Adapter, violations *violationList) {
			checkExists(violations, "team", c.teams, a.Team)
			checkExists(violations, "model", c.models, a.Model)
			checkRange(violations, "size", a.Size, 1, Bytes(maxSize))
		},
		checkUnused: alwaysUnused[Adapter],
	}
}

func callerSchema() schema[CallerName, Caller] {
	return schema[CallerName, Caller]{
		less: lessName[CallerName], parse: parseName[CallerName],
		key:   func(caller Caller) CallerName { return caller.Name },
		owner: func(_ *Config, caller Caller) TeamName { return caller.Team },
		validate: func(c *Config, caller Caller, violations *violationList) {
			checkExists(violations, "team", c.teams, caller.Team)
			checkRange(violations, "highest", caller.HighestClass, ClassHigh, ClassLow)
			checkRange(violations, "weight", caller.Weight, 1, maxWeight)
			checkRange(violations, "max_in_flight", caller.MaxInFlight, 0, 1<<30)
		},
		checkUnused: alwaysUnused[Caller],
	}
}

func serviceSchema() schema[ServiceName, Service] {
	return schema[ServiceName, Service]{
		less: lessName[ServiceName], parse: parseName[ServiceName],
		key:   func(s Service) ServiceName { return s.Name },
		owner: func(_ *Config, s Service) TeamName { return s.Team },
		validate: func(c *Config, s Service, violations *violationList) {
			checkExists(violations, "team", c.teams, s.Team)
			calls := make([]ServiceCall, 0, len(s.Calls))
			for _, call := range s.Calls {
				calls = append(calls, ServiceCall{Method: call.Method, Prefix: call.Prefix})
				if call.Prefix == "" || call.Prefix[0] != '/' {
					violations.add("prefix %q must start with a slash", call.Prefix)
				}
			}
			checkUnique(violations, "call", calls)
		},
		checkUnused: func(c *Config, s Service, violations *violationList) {
			for u := range c.upstreams.rows.all() {
				if slices.Contains(u.Services, s.Name) {
					violations.add("upstream %q runs the service", u.Name)
				}
			}
		},
	}
}

func upstreamSchema() schema[UpstreamName, Upstream] {
	return schema[UpstreamName, Upstream]{
		less: lessName[UpstreamName], parse: parseName[UpstreamName],
		key:      func(u Upstream) UpstreamName { return u.Name },
		owner:    platformOwned[Upstream],
		validate: checkUpstream,
		checkUnused: func(c *Config, u Upstream, violations *violationList) {
			for m := range c.models.rows.all() {
				if slices.Contains(m.Pinned, u.Name) {
					violations.add("model %q is pinned to the upstream", m.Name)
				}
			}
		},
	}
}

func checkUpstream(c *Config, u Upstream, violations *violationList) {
	checkName(violations, "host", string(u.Host))
	checkName(violations, "data_centre", string(u.DataCentre))
	checkName(violations, "region", string(u.Region))
	checkAddress(c, u.Name, "traffic_addr", u.TrafficAddr, violations)
	checkAddress(c, u.Name, "control_addr", u.ControlAddr, violations)
	if u.TrafficAddr == u.ControlAddr {
		violations.add("traffic_addr and control_addr are the same")
	}
	checkUnique(violations, "service", u.Services)
	for _, name := range u.Services {
		checkExists(violations, "service", c.services, name)
	}
	checkRange(violations, "memory", u.Memory, 0, Bytes(maxSize))
	switch u.Kind {
	case ModelRunner:
		if u.Memory == 0 {
			violations.add("a model runner must have memory above zero")
		}
		if u.Fencing != FencingEnforced && u.Fencing != FencingIgnored {
			violations.add("fencing %q must be %q or %q", u.Fencing, FencingEnforced, FencingIgnored)
		}
	case ApplicationRunner, PlainService:
	default:
		violations.add("unknown kind of upstream %q", u.Kind)
	}
}

func checkName(violations *violationList, field, name string) {
	if !validName(name) {
		violations.add("%s %q is not a valid name", field, name)
	}
}

func checkAddress(c *Config, name UpstreamName, field, address string, violations *violationList) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		violations.add("%s %q must be ip:port", field, address)
		return
	}
	if other, taken := c.addresses[address]; taken && other != name {
		violations.add("%s %s is already that of upstream %q", field, address, other)
	}
}

func drainSchema() schema[string, Drain] {
	return schema[string, Drain]{
		less: lessName[string], parse: parseDrain,
		key:   Drain.Key,
		owner: platformOwned[Drain],
		validate: func(c *Config, d Drain, violations *violationList) {
			if (d.Upstream == "") == (d.Host == "") {
				violations.add("a drain names either an upstream or a host")
			}
			if d.Upstream != "" {
				checkExists(violations, "upstream", c.upstreams, d.Upstream)
			}
		},
		checkUnused: alwaysUnused[Drain],
	}
}
