package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// replicaSet is a version of the ready replicas of a target. It is immutable.
type replicaSet struct {
	version  uint64
	replicas []rpc.ReplicaAt
	loads    []*upstreamLoad
	// hashes are of the replicas' upstreams, for routing.Rank.
	hashes []uint64
}

// route is what the entry knows of one target and the requests that wait for
// it.
type route struct {
	target target
	room   *waitingRoom
	set    atomic.Pointer[replicaSet]
	// lastUsed is the time of the last request in Unix nanoseconds.
	lastUsed atomic.Int64
	// loadWait is the predicted time until a replica is ready, in
	// nanoseconds; zero if one is.
	loadWait atomic.Int64
	// refused counts requests refused for want of a ready replica since the
	// last report to the home.
	refused atomic.Int64
	// noCapacity says that the home has found no grant that can be used.
	noCapacity atomic.Bool
	// coldSince is the arrival of the first request that found no ready
	// replica, in Unix nanoseconds; zero if none waits for one.
	coldSince atomic.Int64
	// coldStarted hears of the end of a cold start; nil for plain services.
	coldStarted func(t target, d time.Duration)
	arrivals    rateMeter

	mu sync.Mutex
	// missing lists upstreams that refused requests as not ready, for the
	// next question to the home.
	missing    []state.UpstreamName
	rng        *rand.Rand
	trackers   [kindCount]*routing.LatencyTracker
	beliefs    *routing.PrefixIndex
	index      map[state.UpstreamName]int
	candidates []routing.Candidate
}

// answerKind divides answers by what their latency measures.
type answerKind int

const (
	// wholeAnswer arrives at once; its latency grows with its length.
	wholeAnswer answerKind = iota
	// streamedAnswer shows its first token early.
	streamedAnswer
	kindCount
)

func (r *request) kind() answerKind {
	if r.stream {
		return streamedAnswer
	}
	return wholeAnswer
}

// routeConfig holds what all routes of an entry share.
type routeConfig struct {
	queue   admission.Config
	delay   routing.DelayConfig
	latency routing.LatencyConfig
	prefix  routing.PrefixConfig
	slots   int
	place   state.DataCentre
	region  state.Region
	seed    uint64
	loads   *loadTable
	// coldStarted hears how long cold starts took.
	coldStarted func(t target, d time.Duration)
}

func newRoute(t target, cfg routeConfig) *route {
	r := &route{
		target: t,
		room:   newWaitingRoom(cfg.queue),
		rng:    rand.New(rand.NewPCG(cfg.seed, contentHash(t.String(), nil))),
		trackers: [kindCount]*routing.LatencyTracker{
			routing.NewLatencyTracker(cfg.latency),
			routing.NewLatencyTracker(cfg.latency),
		},
		beliefs: routing.NewPrefixIndex(cfg.prefix),
		index:   make(map[state.UpstreamName]int),
	}
	if t.service == "" {
		r.coldStarted = cfg.coldStarted
	}
	return r
}

// forgetCold ends a cold start that no request waits for any more.
func (r *route) forgetCold() {
	if waiting, _, _ := r.room.waiting(); waiting == [state.ClassCount]int{} {
		r.coldSince.Store(0)
	}
}

// setReplicas publishes a new set of ready replicas.
func (r *route) setReplicas(version uint64, replicas []rpc.ReplicaAt, loads *loadTable) {
	set := &replicaSet{version: version, replicas: replicas}
	for _, replica := range replicas {
		set.loads = append(set.loads, loads.of(replica.Upstream))
		set.hashes = append(set.hashes, routing.UpstreamHash(replica.Upstream))
	}
	r.set.Store(set)
	if len(replicas) > 0 {
		if since := r.coldSince.Swap(0); since != 0 && r.coldStarted != nil {
			r.coldStarted(r.target, time.Since(time.Unix(0, since)))
		}
	}
	r.forgetAbsent(set)
	r.room.setReplicas(len(replicas))
}

// dropReplica takes a replica out of the set before its home does, after the
// replica's agent refused to serve it.
func (r *route) dropReplica(upstream state.UpstreamName, loads *loadTable) {
	old := r.set.Load()
	if old == nil {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(old.replicas), func(replica rpc.ReplicaAt) bool {
		return replica.Upstream == upstream
	})
	if len(rest) < len(old.replicas) {
		r.noteMissing(upstream)
		r.setReplicas(0, rest, loads)
	}
}

func (r *route) noteMissing(upstream state.UpstreamName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missing = append(r.missing, upstream)
}

// takeMissing returns the upstreams noted since the last call.
func (r *route) takeMissing() []state.UpstreamName {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := r.missing
	r.missing = nil
	return missing
}

func (r *route) forgetAbsent(set *replicaSet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, i := range r.index {
		present := slices.ContainsFunc(set.replicas, func(replica rpc.ReplicaAt) bool {
			return replica.Upstream == name
		})
		if !present {
			for _, tracker := range r.trackers {
				tracker.Forget(i)
			}
			r.beliefs.Forget(i)
			delete(r.index, name)
		}
	}
}

// pick selects a replica for a request. The exclude names the upstream of an
// earlier attempt, or is empty.
func (r *route) pick(now time.Time, req *request, cfg *routeConfig, exclude state.UpstreamName, remote bool) (rpc.ReplicaAt, *upstreamLoad, bool) {
	set := r.set.Load()
	if set == nil || len(set.replicas) == 0 {
		return rpc.ReplicaAt{}, nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := -1
	r.candidates = r.candidates[:0]
	for i := range set.replicas {
		replica := &set.replicas[i]
		if replica.Upstream == exclude {
			excluded = i
		}
		r.candidates = append(r.candidates, r.candidate(now, i, replica, set.loads[i], req, cfg))
		r.candidates[i].Rank = routing.Rank(req.affinity, set.hashes[i])
	}
	routing.AssumePrefix(r.candidates)
	policy := routing.TwoChoices{Config: cfg.delay}
	wanted := routing.Request{
		Adapter: req.target.adapter != "",
		Prefill: req.cost,
		Volume:  state.Bytes(len(req.body)),
		Remote:  remote,
		Exclude: excluded,
	}
	chosen, ok := policy.Select(r.rng, r.candidates, wanted)
	if !ok && excluded >= 0 {
		// The replica that was tried before is better than none.
		wanted.Exclude = -1
		chosen, ok = policy.Select(r.rng, r.candidates, wanted)
	}
	if !ok {
		return rpc.ReplicaAt{}, nil, false
	}
	i := r.candidates[chosen].Replica
	if r.candidates[chosen].Ejected {
		r.trackers[req.kind()].RecordProbe(now, r.indexOf(set.replicas[i].Upstream))
	}
	return set.replicas[i], set.loads[i], true
}

func (r *route) candidate(now time.Time, i int, replica *rpc.ReplicaAt, load *upstreamLoad, req *request, cfg *routeConfig) routing.Candidate {
	n := r.indexOf(replica.Upstream)
	tracker := r.trackers[req.kind()]
	queue, sent := load.now(now, cfg.slots, req.cost)
	return routing.Candidate{
		Replica:       i,
		Queue:         queue,
		Sent:          sent,
		Slots:         cfg.slots,
		Latency:       time.Duration(float64(req.cost) * max(tracker.Slowdown(n), replica.Slowdown)),
		Locality:      localityOf(replica, cfg),
		AdapterLoaded: req.target.adapter == "" || slices.Contains(replica.Adapters, req.target.adapter),
		Prefix:        r.beliefs.Share(n, req.blocks),
		Ejected:       tracker.Ejected(now, n, r.rng.Float64()),
	}
}

func localityOf(replica *rpc.ReplicaAt, cfg *routeConfig) routing.Locality {
	switch {
	case replica.DataCentre == cfg.place:
		return routing.SameDataCentre
	case replica.Region == cfg.region:
		return routing.SameRegion
	default:
		return routing.OtherRegion
	}
}

func (r *route) indexOf(name state.UpstreamName) int {
	i, ok := r.index[name]
	if !ok {
		i = r.freeIndex()
		r.index[name] = i
	}
	return i
}

func (r *route) freeIndex() int {
	used := make(map[int]bool, len(r.index))
	for _, i := range r.index {
		used[i] = true
	}
	for i := 0; ; i++ {
		if !used[i] {
			return i
		}
	}
}

// observe learns from an answer. The first is the time to the first token of
// a stream, or the scaled time of a whole answer.
func (r *route) observe(now time.Time, upstream state.UpstreamName, first, between time.Duration, req *request) routing.Ejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.indexOf(upstream)
	r.beliefs.Record(n, req.blocks)
	return r.trackers[req.kind()].Observe(now, n, first, between)
}

// pending notes that an attempt has waited without an answer.
func (r *route) pending(now time.Time, upstream state.UpstreamName, waited time.Duration, req *request) routing.Ejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trackers[req.kind()].ObservePending(now, r.indexOf(upstream), waited)
}

// expectedFirst is the time to first token to expect of an upstream that is not
// a straggler.
func (r *route) expectedFirst(upstream state.UpstreamName, req *request) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trackers[req.kind()].Expected(r.indexOf(upstream))
}

// slowdown is how many times slower than usual a replica is believed to be.
func (r *route) slowdown(replica *rpc.ReplicaAt, req *request) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.trackers[req.kind()].Slowdown(r.indexOf(replica.Upstream)), replica.Slowdown)
}

// fillBlocks computes the prompt's prefix blocks for affinity. Plain services
// have no prefix cache.
func (r *route) fillBlocks(req *request) {
	if r.target.service != "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	req.blocks = r.beliefs.Blocks(req.blocks[:0], r.target.key, req.body)
	req.affinity = routing.Affinity(req.caller.Name, req.blocks)
}

// rateMeter counts arrivals in a sliding pair of windows.
type rateMeter struct {
	mu       sync.Mutex
	start    time.Time
	current  int
	previous int
}

// rateWindow is the length of one of a rateMeter's windows.
const rateWindow = 2 * time.Second

func (m *rateMeter) add(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	m.current++
}

// perSecond is the mean arrival rate of the last one to two windows.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	return float64(m.current+m.previous) / (rateWindow + now.Sub(m.start)).Seconds()
}

func (m *rateMeter) roll(now time.Time) {
	elapsed := now.Sub(m.start)
	switch {
	case elapsed < rateWindow:
	case elapsed < 2*rateWindow:
		m.previous, m.current = m.current, 0
		m.start = m.start.Add(rateWindow)
	default:
		m.previous, m.current = 0, 0
		m.start = now
	}
}
