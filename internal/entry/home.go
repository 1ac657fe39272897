package entry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// demandFreshFor is how long an entry's backlog counts after its report.
	demandFreshFor = 8 * time.Second
	// reportKept is how long the last change of a replica that is gone is
	// kept. Calls that carry changes end after reportTimeout.
	reportKept = time.Minute
	// homeIdle is how long a home without demand is kept.
	homeIdle = 10 * time.Minute
	// wakePoll is the time between questions to an agent that loads.
	wakePoll = 100 * time.Millisecond
	// wakeTimeout bounds a call to an agent.
	wakeTimeout = 2 * time.Second
	// refusedFor is how long a grant is not tried after its agent refused.
	refusedFor = 2 * time.Second
	// startLoadTime and startService are assumed until something was
	// measured.
	startLoadTime = 5 * time.Second
	startService  = time.Second
	// startSlots is how many requests a replica is taken to run side by side.
	startSlots = 16
)

// home is what the home of a model version knows. It is soft state: a second
// home of the same model can only order what the grants permit.
type home struct {
	key      state.ReplicaKey
	demands  map[state.EntryName]demandSeen
	replicas map[state.UpstreamName]*homeReplica
	refused  map[state.UpstreamName]time.Time
	// reports holds the last change applied for each upstream, also of those
	// whose replica is gone.
	reports  map[state.UpstreamName]report
	version  uint64
	parked   []parkedDemand
	lastUsed time.Time
	// loadTime is the mean of the measured loads that were not cached; zero if
	// there was none.
	loadTime time.Duration
	// expected is the shortest load time under a usable grant.
	expected time.Duration
	decision scaling.HomeDecision
	// benefit is what the waiters lose per second without a load.
	benefit float64
	spares  spares
	// probing counts the agents that have not yet said what they have loaded;
	// until probeUntil the home decides nothing, so that it wakes no second
	// replica beside one that an earlier home has woken.
	probing    int
	probeUntil time.Time
}

type demandSeen struct {
	backlog rpc.Backlog
	at      time.Time
}

type homeReplica struct {
	at      rpc.ReplicaAt
	readyAt time.Time
	polled  time.Time
	polling bool
	woken   time.Time
	drained bool
	// answered is the agent's report that its last answer to a wake of the
	// model was given after.
	answered reportOrder
	// ended is a change that says that the replica is gone and that came
	// while a wake was in flight.
	ended *rpc.ReplicaChange
}

// parkedDemand is a question of an entry that waits for a change.
type parkedDemand struct {
	entry state.EntryName
	known uint64
	until time.Time
	reply chan rpc.DemandResult
}

// homeTable holds the homes of this entry.
type homeTable struct {
	policy scaling.Home
	byKey  map[state.ReplicaKey]*home
	// wakes are the orders that the last decisions made.
	wakes []wakeOrder
	// probes are the questions of new homes.
	probes []homeProbe
	// agents is what the agents of grants have said of themselves, and
	// questions are the ones to them that the last decisions made.
	agents    map[state.UpstreamName]*agentFacts
	questions []command
	// versions makes the versions of sets of different homes differ.
	versions uint64
}

type wakeOrder struct {
	home    *home
	address string
	replica rpc.ReplicaAt
	params  rpc.WakeParams
}

func newHomeTable(cfg scaling.HomeConfig) homeTable {
	return homeTable{
		policy:   scaling.Home{Config: cfg},
		byKey:    make(map[state.ReplicaKey]*home),
		agents:   make(map[state.UpstreamName]*agentFacts),
		versions: uint64(time.Now().UnixNano()),
	}
}

func (t *homeTable) of(key state.ReplicaKey) *home {
	known, ok := t.byKey[key]
	if ok {
		return known
	}
	created := &home{
		key:      key,
		demands:  make(map[state.EntryName]demandSeen),
		replicas: make(map[state.UpstreamName]*homeReplica),
		refused:  make(map[state.UpstreamName]time.Time),
		reports:  make(map[state.UpstreamName]report),
	}
	t.byKey[key] = created
	t.bump(created)
	return created
}

// bump gives a set a new version and answers the questions that wait for it.
func (t *homeTable) bump(h *home) {
	t.versions++
	h.version = t.versions
}

// demandReceived is an entry's backlog and its question for the replica set.
type demandReceived struct {
	params rpc.DemandParams
	reply  chan rpc.DemandResult
}

func (e demandReceived) apply(c *control, now time.Time) {
	h := c.homes.of(e.params.ReplicaKey)
	if h.probeUntil.IsZero() {
		// A change from one watcher may have made the home before, which
		// says nothing of the upstreams of the other watchers.
		c.probe(h, now)
	}
	h.lastUsed = now
	h.demands[e.params.Entry] = demandSeen{backlog: e.params.Backlog, at: now}
	h.doubt(c, e.params.Missing, now)
	c.decideHome(h, now)
	h.unpark(c, e.params.Entry, now)
	parked := parkedDemand{entry: e.params.Entry, known: e.params.Known, until: now.Add(e.params.Wait.Std()), reply: e.reply}
	h.parked = append(h.parked, parked)
	h.answer(c, now)
}

// unpark answers an entry's earlier question, which it has given up when it asks
// again. Otherwise the questions of an entry that asks often pile up.
func (h *home) unpark(c *control, entry state.EntryName, now time.Time) {
	h.parked = slices.DeleteFunc(h.parked, func(p parkedDemand) bool {
		if p.entry != entry {
			return false
		}
		p.reply <- h.result(c, p.known, now)
		return true
	})
}

// doubt takes replicas that refused an entry's request out of the set until
// their agents have said again what is loaded. A watcher tells of a replica's
// end only if it had heard of the replica, which may have been too young.
func (h *home) doubt(c *control, missing []state.UpstreamName, now time.Time) {
	for _, name := range missing {
		replica, ok := h.replicas[name]
		if !ok || replica.at.State != state.ReplicaReady || replica.polling {
			continue
		}
		replica.at.State = state.ReplicaLoading
		replica.readyAt = now.Add(wakePoll)
		replica.woken = time.Time{}
		c.homes.bump(h)
		c.pollLoading(h, replica, now)
	}
}

// answer replies to the questions that have waited long enough or whose set
// has changed.
func (h *home) answer(c *control, now time.Time) {
	h.parked = slices.DeleteFunc(h.parked, func(p parkedDemand) bool {
		if p.known == h.version && now.Before(p.until) {
			return false
		}
		p.reply <- h.result(c, p.known, now)
		return true
	})
}

func (h *home) result(c *control, known uint64, now time.Time) rpc.DemandResult {
	result := rpc.DemandResult{SetVersion: h.version, Changed: known != h.version}
	ready := h.ready(c.config.View())
	if result.Changed {
		result.Replicas = ready
	}
	if len(ready) == 0 {
		result.ReadyIn = state.Duration(max(h.decision.ReadyIn, wakePoll))
		if h.decision.ReadyIn == 0 {
			result.ReadyIn = state.Duration(h.readyIn(now))
		}
	}
	if h.decision.NoReplica && h.probing == 0 {
		result.Refusal = verdict.Refuse(verdict.ReasonNoCapacity, "no upstream can load the model now").WithRetryAfter(refusedFor)
	}
	return result
}

// ready lists the replicas that may get work, in order of upstream.
func (h *home) ready(config *state.ConfigView) []rpc.ReplicaAt {
	all := make([]rpc.ReplicaAt, 0, len(h.replicas))
	for name, replica := range h.replicas {
		if replica.at.State == state.ReplicaReady && !config.Drained(name) {
			all = append(all, replica.at)
		}
	}
	slices.SortFunc(all, func(a, b rpc.ReplicaAt) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return all
}

// usualLoad predicts a load that any grant may be used for.
func (h *home) usualLoad() time.Duration {
	return cmp.Or(h.expected, h.loadTime, startLoadTime)
}

func (h *home) readyIn(now time.Time) time.Duration {
	shortest := h.usualLoad()
	for _, replica := range h.replicas {
		if replica.at.State == state.ReplicaLoading {
			shortest = min(shortest, max(wakePoll, replica.readyAt.Sub(now)))
		}
	}
	return shortest
}

// decideHomes is the system that runs over all homes.
func (c *control) decideHomes(now time.Time) {
	c.homes.forgetAgents(now)
	for key, h := range c.homes.byKey {
		c.decideHome(h, now)
		h.answer(c, now)
		if now.Sub(h.lastUsed) > homeIdle && len(h.parked) == 0 && len(h.replicas) == 0 {
			delete(c.homes.byKey, key)
		}
	}
}

// decideHome decides which grants to wake for one model.
func (c *control) decideHome(h *home, now time.Time) {
	h.expire(now)
	if h.probing > 0 && now.Before(h.probeUntil) {
		return
	}
	config := c.config.View()
	for name, replica := range h.replicas {
		// Entries that know the set's version must hear of the drain.
		if drained := config.Drained(name); drained != replica.drained {
			replica.drained = drained
			c.homes.bump(h)
		}
	}
	in := h.input(c, config, now)
	h.decision = c.homes.policy.Decide(in)
	h.benefit = c.homes.policy.Benefit(in)
	for _, wake := range h.decision.Wakes {
		params := rpc.WakeParams{
			Benefit: wake.Benefit, Spare: wake.Spare != scaling.NotSpare, MustShare: wake.Spare == scaling.SpareMustShare,
		}
		c.orderWake(h, config, wake.Upstream, params, now)
	}
	for _, load := range h.decision.Adapters {
		c.orderWake(h, config, load.Upstream, rpc.WakeParams{Adapter: load.Adapter}, now)
	}
	for _, replica := range h.replicas {
		if replica.at.State == state.ReplicaLoading && !replica.polling && now.Sub(replica.polled) >= wakePoll {
			c.pollLoading(h, replica, now)
		}
	}
}

// expire forgets backlogs that were not reported again and refusals that are
// over.
func (h *home) expire(now time.Time) {
	for entry, demand := range h.demands {
		if now.Sub(demand.at) > demandFreshFor {
			delete(h.demands, entry)
		}
	}
	for upstream, until := range h.refused {
		if now.After(until) {
			delete(h.refused, upstream)
		}
	}
	for upstream, last := range h.reports {
		if _, held := h.replicas[upstream]; !held && now.Sub(last.at) > reportKept {
			delete(h.reports, upstream)
		}
	}
}
