package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// adaptersInTransit is how many adapters load at full speed together.
	adaptersInTransit = 30
	// adaptersPerRunner is how many adapters fit beside the replicas.
	adaptersPerRunner = 8
	// adapterNews is how late entries hear of adapters: a heartbeat within a
	// second, a second at the watcher, and the home's message.
	adapterNews = 2 * time.Second
	// adaptersInUse of each model are asked for all the time.
	adaptersInUse = 2
	// adapterIDs is the range of adapter numbers of one model.
	adapterIDs = 10000
)

// adaptersExperiment asks at once, at all entries, for each adapter of the
// busiest models, beside steady use of a few adapters of all active models.
// All replicas are loaded, so that it measures adapters only.
var adaptersExperiment = experiment{
	name: "adapters", length: 60 * time.Second, rate: steady, preloaded: true,
	adapterRepeats: 2, burstAt: 20 * time.Second, burstOver: 200 * time.Millisecond,
}

// withAdapters gives four tenths of the requests adapters and adds the burst.
func withAdapters(seed uint64, s size, e experiment, all []*request) []*request {
	rng := rand.New(rand.NewPCG(seed, 4))
	for _, r := range all {
		if own := s.adaptersOf(r.model); own > 0 && rng.Float64() < 0.4 {
			r.adapter = adapterID(r.model, rng.IntN(min(own, adaptersInUse)))
		}
	}
	burstModels := min(max(3, s.models/50), s.active)
	var wanted []int
	for model := range burstModels {
		for i := adaptersInUse; i < s.adaptersOf(model); i++ {
			for range e.adapterRepeats {
				wanted = append(wanted, adapterID(model, i))
			}
		}
	}
	rng.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	for _, adapter := range wanted {
		at := e.burstAt + time.Duration(rng.Float64()*float64(e.burstOver))
		r := draw(rng, s, e, adapter/adapterIDs, at)
		r.adapter, r.burst = adapter, true
		all = append(all, r)
	}
	return all
}

// adaptersOf is how many adapters a model has.
func (s size) adaptersOf(model int) int {
	if model >= s.active {
		return 0
	}
	weights := zipf(s.active)
	share := weights[model]
	if model > 0 {
		share -= weights[model-1]
	}
	return int(float64(s.adapters) * share)
}

func adapterID(model, i int) int { return model*adapterIDs + i + 1 }

func adapterName(id int) state.AdapterName {
	if id == 0 {
		return ""
	}
	return state.AdapterName(strconv.Itoa(id))
}

func adapterOf(name state.AdapterName) int {
	return modelOf(state.ReplicaKey{Model: state.ModelName(name)})
}

// heldAdapter is an adapter that an upstream holds or loads.
type heldAdapter struct {
	ready bool
	// news is when entries know of it.
	news     time.Time
	lastUsed time.Time
	users    int
}

func (u *upstream) hasAdapter(id int) bool {
	held := u.adapters[id]
	return held != nil && held.ready
}

func (u *upstream) dropAdaptersOf(model int) {
	for id := range u.adapters {
		if id/adapterIDs == model {
			delete(u.adapters, id)
		}
	}
}

// useAdapter counts the requests that use a request's adapter.
func (u *upstream) useAdapter(r *request, change int) {
	if held := u.adapters[r.adapter]; held != nil {
		held.users += change
		held.lastUsed = u.w.now
	}
}

// loadAdapter loads an adapter for which the caller has made room.
func (u *upstream) loadAdapter(id int, done func()) {
	held := &heldAdapter{lastUsed: u.w.now}
	u.adapters[id] = held
	if len(u.adapters) > adaptersPerRunner {
		u.w.result.overfull++
	}
	u.w.result.adapterLoads++
	if id%adapterIDs <= adaptersInUse && u.loadedBefore[id] {
		u.w.result.adapterReloads++
	}
	u.loadedBefore[id] = true
	u.w.adapterStore.fetch(u.w.size.adapterLoad, func() {
		held.ready, held.news = true, u.w.now.Add(adapterNews)
		done()
	})
	u.w.after(0, func() {
		u.w.result.mostInTransit = max(u.w.result.mostInTransit, len(u.w.adapterStore.transfers))
	})
}

// idleAdapters lists the adapters that may go, the longest unused first.
func (u *upstream) idleAdapters() []int {
	var idle []int
	for id, held := range u.adapters {
		if held.ready && held.users == 0 {
			idle = append(idle, id)
		}
	}
	slices.SortFunc(idle, func(x, y int) int {
		return cmp.Or(u.adapters[x].lastUsed.Compare(u.adapters[y].lastUsed), cmp.Compare(x, y))
	})
	return idle
}

// agentAdapters are the adapters that an agent's requests use or wait for.
type agentAdapters struct {
	// missing lists the adapters to load, in the order of the first request.
	missing []int
	// users counts the requests that wait for or use an adapter.
	users map[int]int
	// inFlight counts the loads under way.
	inFlight int
	pacer    scaling.AdapterLimiter
}

// wantAdapter keeps the adapter of a request from being evicted, and has it
// loaded if need be.
func (a *agent) wantAdapter(r *request) {
	if r.adapter == 0 {
		return
	}
	if a.adapters.users == nil {
		a.adapters.users = make(map[int]int)
	}
	a.adapters.users[r.adapter]++
	if held := a.u.adapters[r.adapter]; held != nil {
		held.users++
		held.lastUsed = a.o.now
		return
	}
	if !slices.Contains(a.adapters.missing, r.adapter) {
		a.adapters.missing = append(a.adapters.missing, r.adapter)
	}
	a.loadAdapters()
}

func (a *agent) releaseAdapter(r *request) {
	if r.adapter == 0 {
		return
	}
	a.adapters.users[r.adapter]--
	if held := a.u.adapters[r.adapter]; held != nil {
		held.users--
		held.lastUsed = a.o.now
	}
	a.loadAdapters()
}

// loadAdapters loads what requests wait for, as far as there is room.
func (a *agent) loadAdapters() {
	a.adapters.missing = slices.DeleteFunc(a.adapters.missing, func(id int) bool {
		rep := a.u.replicas[id/adapterIDs]
		return a.adapters.users[id] == 0 || rep == nil || !rep.ready
	})
	for len(a.adapters.missing) > 0 {
		if !a.adapters.pacer.Allows(a.adapters.inFlight) {
			return
		}
		id := a.adapters.missing[0]
		if len(a.u.adapters) >= adaptersPerRunner {
			idle := a.u.idleAdapters()
			if len(idle) == 0 {
				return
			}
			delete(a.u.adapters, idle[0])
		}
		a.adapters.missing = a.adapters.missing[1:]
		a.adapters.inFlight++
		started := a.o.now
		a.u.loadAdapter(id, func() {
			a.adapters.inFlight--
			a.adapters.pacer.RecordLoad(a.o.now.Sub(started), 1)
			a.loadAdapters()
			a.pump()
		})
		a.u.adapters[id].users = a.adapters.users[id]
	}
}

// prefersAdapter reports whether the choice for r depends on an adapter.
func (e *entry) prefersAdapter(r *request) bool {
	return r != nil && r.adapter != 0 && !e.o.exp.noAffinity
}

// knowsAdapter reports whether the entry knows that an upstream holds the
// adapter that r asks for.
func (e *entry) knowsAdapter(r *request, up int) bool {
	if !e.prefersAdapter(r) {
		return true
	}
	held := e.o.ups[up].adapters[r.adapter]
	return held != nil && held.ready && !e.o.now.Before(held.news)
}

// naiveAdapter reports whether the upstream has the adapter of the request at
// the head of its queue, and loads it if not.
func (n *naive) naiveAdapter(u *upstream, r *request) bool {
	if r.adapter == 0 || u.hasAdapter(r.adapter) {
		return true
	}
	if u.adapters[r.adapter] != nil {
		return false
	}
	if len(u.adapters) >= adaptersPerRunner {
		idle := u.idleAdapters()
		if len(idle) == 0 {
			return false
		}
		delete(u.adapters, idle[0])
	}
	u.loadAdapter(r.adapter, func() { n.pump(u) })
	return false
}

// judgeAdapters compares with ours without adapter preference and with the
// naive version.
func (t *table) judgeAdapters(s size, e experiment, o outcomes) {
	first := func(r *result) time.Duration { return quantile(r.burstFirst, 99) }
	perRequest := func(r *result) float64 { return float64(r.adapterLoads) }
	t.target(s, e, "in time / naive", float64(o.ours.served())/float64(max(o.naive.served(), 1)), 1, false)
	t.target(s, e, "p99 first token of the burst / without preference ("+show(first(o.ours))+", naive "+show(first(o.naive))+")", ratio(first(o.ours), first(o.base)), 1, true)
	t.target(s, e, "adapter loads / without preference ("+strconv.Itoa(o.ours.adapterLoads)+", naive "+strconv.Itoa(o.naive.adapterLoads)+")", perRequest(o.ours)/perRequest(o.base), 1, true)
	t.target(s, e, "reloads of adapters in use ("+strconv.Itoa(o.ours.adapterReloads)+", naive "+strconv.Itoa(o.naive.adapterReloads)+") / without preference", float64(o.ours.adapterReloads)/float64(max(o.base.adapterReloads, 1)), 1, true)
	t.target(s, e, "most adapters in transit (naive "+strconv.Itoa(o.naive.mostInTransit)+")", float64(o.ours.mostInTransit), adaptersInTransit, true)
}
