package bench

import (
	"math/rand/v2"
	"time"
)

// replica is a loaded or loading copy of a model on an upstream.
type replica struct {
	model    int
	ready    bool
	readyAt  time.Time
	loadedAt time.Time
	lastUsed time.Time
	// running counts requests in slots; idleSince is when it fell to zero.
	running   int
	idleSince time.Time
	// users counts requests that run or wait there.
	users int
}

// upstream is a fake model runner. Its slots run side by side at full speed.
type upstream struct {
	id, region, centre int
	w                  *world
	replicas           map[int]*replica
	adapters           map[int]*heldAdapter
	prefixes           prefixCache
	// exporting is until when the upstream's link is busy with KV caches.
	exporting time.Time
	// loadedBefore holds the adapters that the upstream has ever loaded.
	loadedBefore     map[int]bool
	running          map[*execution]struct{}
	lost             bool
	slowFrom, slowTo time.Time
	slowFactor       float64
	// idle sums the time with a loaded replica and nothing running.
	idle      time.Duration
	idleSince time.Time
	counting  bool
}

// execution is a request in a slot.
type execution struct {
	r        *request
	up       *upstream
	over     bool
	onFinish func(ok bool)
}

// run starts r in a slot. A straggler's factor at the start of a request holds
// for the whole request.
func (u *upstream) run(r *request, onFirst func(), onFinish func(ok bool)) *execution {
	x := &execution{r: r, up: u, onFinish: onFinish}
	u.w.noteColdStart(r)
	u.running[x] = struct{}{}
	if rep := u.replicas[r.model]; rep != nil {
		u.w.closeIdle(rep)
		rep.running++
	}
	if len(u.running) > slotsPerRunner {
		u.w.result.overfull++
	}
	r.runs++
	u.account()
	factor, saved := u.factor(), u.prefillSaved(r)
	u.w.after(scale(r.prefill-saved, factor), func() {
		if !x.over {
			onFirst()
		}
	})
	u.w.after(scale(r.total-saved, factor), func() { x.end(true) })
	return x
}

// factor is how many times slower than usual the upstream is now.
func (u *upstream) factor() float64 {
	if now := u.w.now; !now.Before(u.slowFrom) && now.Before(u.slowTo) {
		return u.slowFactor
	}
	return 1
}

func (x *execution) end(ok bool) {
	if x.over {
		return
	}
	x.over = true
	delete(x.up.running, x)
	if rep := x.up.replicas[x.r.model]; rep != nil {
		rep.lastUsed = x.up.w.now
		rep.running--
		rep.idleSince = x.up.w.now
	}
	x.up.account()
	x.onFinish(ok)
}

// account closes the last span of the idle time and opens the next.
func (u *upstream) account() {
	if u.counting {
		u.idle += u.w.now.Sub(u.idleSince)
	}
	u.idleSince = u.w.now
	u.counting = !u.lost && len(u.running) == 0 && len(u.replicas) > 0
}

// fail loses the upstream with all that runs there.
func (u *upstream) fail() {
	u.lost = true
	u.account()
	ordered := make([]*execution, 0, len(u.running))
	for x := range u.running {
		ordered = append(ordered, x)
	}
	// Map order must not decide the order of events.
	sortExecutions(ordered)
	for _, x := range ordered {
		x.end(false)
	}
	for _, rep := range u.replicas {
		u.w.closeIdle(rep)
	}
	clear(u.replicas)
	clear(u.adapters)
	u.account()
}

// load brings a model onto the upstream. The caller has made room.
func (u *upstream) load(model int, done func(ok bool)) {
	rep := &replica{model: model}
	u.replicas[model] = rep
	u.account()
	u.w.result.loads++
	if len(u.replicas) > replicasPerRunner {
		u.w.result.overfull++
	}
	finish := func() {
		if u.lost || u.replicas[model] != rep {
			done(false)
			return
		}
		rep.ready, rep.readyAt = true, u.w.now
		rep.loadedAt, rep.lastUsed, rep.idleSince = u.w.now, u.w.now, u.w.now
		done(true)
	}
	work, remote := u.w.loadWork(model, u.id)
	if remote {
		u.w.store.fetch(work, finish)
		return
	}
	u.w.after(work, finish)
}

// preload puts a replica on the upstream before the run.
func (u *upstream) preload(model int) {
	u.replicas[model] = &replica{model: model, ready: true, readyAt: epoch, loadedAt: epoch, lastUsed: epoch, idleSince: epoch}
	u.account()
}

func (u *upstream) unload(model int) {
	if rep := u.replicas[model]; rep != nil {
		u.w.closeIdle(rep)
	}
	delete(u.replicas, model)
	u.dropAdaptersOf(model)
	u.account()
}

// closeIdle adds the idle span of a replica that ends now.
func (w *world) closeIdle(rep *replica) {
	if rep.ready && rep.running == 0 {
		w.result.replicaIdle += w.now.Sub(rep.idleSince)
		rep.idleSince = w.now
	}
}

// world is the platform under one version of the system.
type world struct {
	*sim
	size         size
	exp          experiment
	rng          *rand.Rand
	ups          []*upstream
	store        *store
	adapterStore *store
	grants       [][]int
	loads        []time.Duration
	tiers        [][]float64
	result       *result
	pending      int
}

func newWorld(seed uint64, s size, e experiment) *world {
	w := &world{sim: newSim(), size: s, exp: e, rng: rand.New(rand.NewPCG(seed, 2))}
	w.result = newResult()
	speed := e.storeSpeed
	if speed == 0 {
		speed = 1
	}
	w.store = &store{w: w, speed: speed, spacing: time.Second / storeStarts, atOnce: storeAtOnce, updated: epoch}
	w.adapterStore = &store{w: w, speed: 1, atOnce: adaptersInTransit, updated: epoch}
	for i := range s.runners {
		centre := i % s.centres
		u := &upstream{id: i, centre: centre, region: centre % s.regions, w: w, replicas: make(map[int]*replica), adapters: make(map[int]*heldAdapter), loadedBefore: make(map[int]bool), running: make(map[*execution]struct{})}
		w.ups = append(w.ups, u)
	}
	w.place(rand.New(rand.NewPCG(seed, 3)))
	w.slowDown()
	if e.lostAt > 0 {
		w.after(e.lostAt, func() {
			for _, u := range w.ups {
				if u.centre == 0 {
					u.fail()
				}
			}
		})
	}
	return w
}

// slowDown makes stragglers of the upstreams that serve the models most in
// demand, the worst case for the share.
func (w *world) slowDown() {
	left := int(w.exp.slowShare*float64(w.size.runners) + 0.5)
	for _, grants := range w.grants {
		u := w.ups[grants[0]]
		if left == 0 || u.slowFactor > 0 {
			continue
		}
		u.slowFactor = w.exp.slowFactor
		u.slowFrom, u.slowTo = epoch.Add(w.exp.slowFrom), epoch.Add(w.exp.slowTo)
		left--
	}
}

// place gives each model its grants, load time and cache tiers. The number of
// grants follows the model's share of demand, within the size's bound.
func (w *world) place(rng *rand.Rand) {
	weights := zipf(w.size.active)
	for model := range w.size.models {
		share := 0.0
		if model < len(weights) {
			share = weights[model]
			if model > 0 {
				share -= weights[model-1]
			}
		}
		n := min(max(3, int(10*w.size.rate*share/slotsPerRunner)+2), w.size.maxGrants)
		w.grants = append(w.grants, rng.Perm(w.size.runners)[:n])
		w.loads = append(w.loads, time.Duration(6+8*rng.Float64())*time.Second)
		tiers := make([]float64, n)
		for i := range tiers {
			tiers[i] = []float64{0.15, 0.4, 1, 1}[rng.IntN(4)]
		}
		w.tiers = append(w.tiers, tiers)
	}
}

// loadWork is the load time of a model at an upstream at full speed, and
// whether the weights come from the store.
func (w *world) loadWork(model, up int) (time.Duration, bool) {
	for i, granted := range w.grants[model] {
		if granted == up {
			return scale(w.loads[model], w.tiers[model][i]), w.tiers[model][i] == 1
		}
	}
	return w.loads[model], true
}

// warm loads the active models on their first grants before the run, as many
// as the usual demand needs.
func (w *world) warm(all bool) {
	for model := range w.size.models {
		n := 0
		if model < w.size.active {
			n = 1 + int(1.3*w.usualRate(model)/slotsPerRunner)
		}
		if all {
			n = len(w.grants[model])
		}
		for _, up := range w.grants[model] {
			u := w.ups[up]
			if n == 0 || len(u.replicas) >= replicasPerRunner {
				continue
			}
			u.preload(model)
			n--
		}
	}
}

// usualRate is the arrivals per second of a model before the disturbance.
func (w *world) usualRate(model int) float64 {
	if w.exp.sessions || model >= w.size.active {
		return 0
	}
	weights := zipf(w.size.active)
	share := weights[model]
	if model > 0 {
		share -= weights[model-1]
	}
	return w.size.rate * w.exp.rate(0) * share
}

// delay is the one-way latency between an entry and an upstream.
func (w *world) delay(entry int, u *upstream) time.Duration {
	centre := entry % w.size.centres
	switch {
	case centre == u.centre:
		return 300 * time.Microsecond
	case centre%w.size.regions == u.region:
		return time.Millisecond
	default:
		return 40 * time.Millisecond
	}
}

func (w *world) remote(entry int, u *upstream) bool {
	return (entry%w.size.centres)%w.size.regions != u.region
}

func (w *world) logDown() bool {
	at := w.now.Sub(epoch)
	return at >= w.exp.logFrom && at < w.exp.logTo
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
