package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// size is a deployment.
type size struct {
	name                    string
	regions, centres        int
	runners, models, active int
	entries                 int
	// rate is the usual arrivals per second.
	rate float64
	// maxGrants bounds the grants of a model.
	maxGrants int
	// weights are what the deployment values.
	weights scaling.HomeConfig
	// quick scales the length of long experiments.
	quick float64
	// adapters are spread over the active models in proportion to demand.
	adapters int
	// adapterLoad is the time to load one at full speed.
	adapterLoad time.Duration
}

// sizes are today's deployments and one region of the two-year size: an eighth
// of its runners, entries and peak, which the tenfold swing reaches. The
// ticketing platform, and the region as a part of it, give tail latency ten
// times the default weight.
var sizes = []size{
	{name: "ticketing", weights: scaling.HomeConfig{TailWeight: 100}, regions: 3, centres: 3, runners: 20, models: 60, active: 12, entries: 3, rate: 12, maxGrants: 6, quick: 1, adapters: 100, adapterLoad: 8 * time.Millisecond},
	{name: "archive", regions: 3, centres: 3, runners: 12, models: 25, active: 8, entries: 3, rate: 7, maxGrants: 5, quick: 1, adapters: 80, adapterLoad: 12 * time.Millisecond},
	{name: "region", weights: scaling.HomeConfig{TailWeight: 100}, regions: 1, centres: 3, runners: 1500, models: 590, active: 300, entries: 44, rate: 137.5, maxGrants: 35, quick: 0.1, adapters: 1600, adapterLoad: 8 * time.Millisecond},
}

const (
	slotsPerRunner    = 8
	replicasPerRunner = 3
)

// request is one arrival and how it ended.
type request struct {
	id    uint64
	model int
	// adapter is zero if none is asked for.
	adapter  int
	caller   state.CallerName
	class    state.Class
	entry    int
	arrived  time.Time
	deadline time.Time
	// answerBy is when ours must have answered, so that the answer is in time
	// at the caller.
	answerBy   time.Time
	prefill    time.Duration
	total      time.Duration
	long       bool
	repeatable bool
	volume     state.Bytes

	// burst marks the requests of a burst for adapters.
	burst bool
	// session, prompt and the length of its system prompt are set in sessions
	// with growing prompts; blocks are hashes of the prompt.
	session, system int
	prompt          []byte
	blocks          []uint64
	runs            int
	started         bool
	first           time.Duration
	ended           bool
}

// experiment describes demand and faults over time.
type experiment struct {
	name string
	// length of the arrivals; the run continues until all have ended.
	length time.Duration
	// rate multiplies the usual rate.
	rate func(at time.Duration) float64
	// burst sends requests to a cold model within burstOver.
	burst     int
	burstAt   time.Duration
	burstOver time.Duration
	// longShare of the requests take longFactor times as long.
	longShare, longFactor float64
	// slowShare of the upstreams are slowFactor times slower in a window.
	slowShare, slowFactor float64
	slowFrom, slowTo      time.Duration
	reportDelay           time.Duration
	// storeSpeed is the speed of the store; zero means 1.
	storeSpeed float64
	// coldModels get a request each around the middle of the run.
	coldModels int
	// lostAt is when a data centre is lost; zero means never.
	lostAt           time.Duration
	logFrom, logTo   time.Duration
	exact, preloaded bool
	// oneMean lets homes know one mean load time for all grants of a model and
	// assume 16 slots.
	oneMean bool
	// foretold lets ours know from the beginning which upstreams will be
	// stragglers, and when.
	foretold bool
	// sessions replaces steady demand by sessions on rarely used models, and
	// nothing is loaded before the run.
	sessions bool
	// onceShare is the share of non-idempotent work; zero means 0.05.
	onceShare float64
	// adapterRepeats is how often the burst asks for each adapter of the
	// busiest models; zero means that nothing asks for adapters.
	adapterRepeats int
	// turns replaces single requests by sessions of that many turns on average.
	turns int
	// noPrefixCache lets engines forget each prompt at once, so that all
	// beliefs are wrong.
	noPrefixCache bool
	// kvGbit is the bandwidth in Gbit/s at which an upstream exports KV caches;
	// zero means that none is moved.
	kvGbit float64
	// noAffinity makes ours blind to what upstreams hold in their caches.
	noAffinity bool
}

func steady(time.Duration) float64 { return 1 }

// swing rises tenfold within 5 s, stays for 40 s and falls within 5 s.
func swing(at time.Duration) float64 {
	up := min(max((at-20*time.Second).Seconds()/5, 0), 1)
	down := min(max((at-65*time.Second).Seconds()/5, 0), 1)
	return 1 + 9*(up-down)
}

var experiments = []experiment{
	{name: "broadcast", length: 60 * time.Second, rate: steady, burst: 400, burstAt: 20 * time.Second, burstOver: 2 * time.Second},
	{name: "swing", length: 90 * time.Second, rate: swing},
	{name: "stragglers", length: 90 * time.Second, rate: func(time.Duration) float64 { return 3 }, slowShare: 0.1, slowFactor: 10, slowFrom: 30 * time.Second, slowTo: 60 * time.Second, reportDelay: 5 * time.Second},
	{name: "long", length: 120 * time.Second, rate: func(time.Duration) float64 { return 2 }, longShare: 0.02, longFactor: 50},
	{name: "slow-store", length: 90 * time.Second, rate: steady, storeSpeed: 0.5, coldModels: 12},
	{name: "centre-lost", length: 90 * time.Second, rate: func(time.Duration) float64 { return 2 }, lostAt: 30 * time.Second},
	{name: "quiet-day", length: 6 * time.Hour, rate: steady, sessions: true},
	adaptersExperiment,
	prefixesExperiment,
	kvMoveExperiment,
	{name: "log-down", length: 720 * time.Second, rate: steady, logFrom: 60 * time.Second, logTo: 660 * time.Second},
}

// arrivals draws the requests of an experiment; the same seed draws the same.
func arrivals(seed uint64, s size, e experiment) []*request {
	rng := rand.New(rand.NewPCG(seed, 1))
	weights := zipf(s.active)
	var all []*request
	at := time.Duration(0)
	for !e.sessions && e.turns == 0 {
		at += time.Duration(rng.ExpFloat64() / (s.rate * e.rate(at)) * float64(time.Second))
		if at >= e.length {
			break
		}
		all = append(all, draw(rng, s, e, pick(rng, weights), at))
	}
	if e.sessions {
		all = append(all, sessions(rng, s, e)...)
	}
	if e.turns > 0 {
		all = turns(rng, s, e)
	}
	for i := range e.burst {
		spread := time.Duration(float64(e.burstOver) * float64(i) / float64(e.burst))
		all = append(all, draw(rng, s, e, s.models-1, e.burstAt+spread))
	}
	for i := range e.coldModels {
		all = append(all, draw(rng, s, e, s.models-1-i, e.length/2+time.Duration(i)*100*time.Millisecond))
	}
	if e.adapterRepeats > 0 {
		all = withAdapters(seed, s, e, all)
	}
	for i, r := range all {
		r.id = uint64(i + 1)
	}
	return all
}

// sessions draws for each model sessions of a few requests, with a mean gap of
// 2 min to 2 h between sessions that is the model's own.
func sessions(rng *rand.Rand, s size, e experiment) []*request {
	var all []*request
	for model := range s.models {
		gap := 2 * time.Minute * time.Duration(math.Exp2(6*rng.Float64()))
		at := time.Duration(rng.ExpFloat64() * float64(gap))
		for at < e.length {
			for range 3 + rng.IntN(12) {
				if at < e.length {
					all = append(all, draw(rng, s, e, model, at))
				}
				at += time.Duration(rng.ExpFloat64() * float64(12*time.Second))
			}
			at += time.Duration(rng.ExpFloat64() * float64(gap))
		}
	}
	return all
}

func draw(rng *rand.Rand, s size, e experiment, model int, at time.Duration) *request {
	prefill := time.Duration((0.08 + 0.12*rng.Float64()) * float64(time.Second))
	decode := time.Duration(0.6 * math.Exp(0.5*rng.NormFloat64()) * float64(time.Second))
	caller := rng.IntN(20)
	once := e.onceShare
	if once == 0 {
		once = 0.05
	}
	r := &request{
		model: model, caller: callerName(caller), entry: rng.IntN(s.entries),
		arrived: epoch.Add(at), prefill: prefill, total: prefill + decode,
		repeatable: rng.Float64() >= once, volume: state.Bytes(2000 + rng.IntN(8000)),
	}
	deadline := []time.Duration{5 * time.Second, 15 * time.Second, 30 * time.Second}[rng.IntN(3)]
	switch roll := rng.Float64(); {
	case roll < 0.2:
		r.class = state.ClassHigh
	case roll < 0.8:
		r.class = state.ClassNormal
	default:
		r.class = state.ClassLow
	}
	// Half of the long requests come from a batch caller of their own, the
	// rest cannot be told in advance.
	if roll := rng.Float64(); roll < e.longShare {
		r.long = true
		r.total = prefill + time.Duration(e.longFactor*float64(decode))
		deadline = 4 * time.Minute
		if roll < e.longShare/2 {
			r.caller = "batch"
		}
	}
	r.deadline = r.arrived.Add(deadline)
	return r
}

func callerName(i int) state.CallerName {
	return state.CallerName("caller-" + string(rune('a'+i)))
}

// zipf returns cumulative weights of n models, the k-th in proportion 1/k.
func zipf(n int) []float64 {
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		total += 1 / float64(i+1)
		sums[i] = total
	}
	for i := range sums {
		sums[i] /= total
	}
	return sums
}

func pick(rng *rand.Rand, sums []float64) int {
	roll := rng.Float64()
	for i, sum := range sums {
		if roll < sum {
			return i
		}
	}
	return len(sums) - 1
}
